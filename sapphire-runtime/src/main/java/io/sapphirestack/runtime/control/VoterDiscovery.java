package io.sapphirestack.runtime.control;

import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.transport.PeerHandlerRegistry;
import io.sapphirestack.runtime.transport.PeerTransport;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;

/**
 * Keeps the directory of voters up to date by exchanging the known voters with other instances. An
 * instance that knows no voter asks the instances in its settings. These may know none either, for
 * example if they have restarted together and none of them is a voter; therefore the instances that
 * follow the control log also tell it to every instance that they have heard of and that is not a
 * member. Thread-safe.
 */
public final class VoterDiscovery {

    /**
     * Time between two exchanges of an instance that follows the control log, in milliseconds. It
     * may be long, because the voters change only a few times a day.
     */
    static final long INTERVAL_MS = 500;

    /**
     * Time between two exchanges of an instance that does not follow the control log, in
     * milliseconds.
     */
    static final long SEARCH_INTERVAL_MS = 100;

    private static final long TIMEOUT_MS = 500;
    private static final Logger LOG = Logger.getLogger(VoterDiscovery.class);

    private final String ownAddress;
    private final VoterDirectory directory;
    private final PeerTransport transport;
    private final Supplier<List<String>> instanceAddresses;
    private final BooleanSupplier followsLog;
    private final MillisClock clock;
    private final RandomGenerator random;
    private final PeerContacts contacts = new PeerContacts();
    private long nextExchangeMs = Long.MIN_VALUE;

    /**
     * Creates a discovery; {@link #start} begins the exchanges.
     *
     * @param ownAddress address of this instance as {@code host:port}
     * @param directory directory to update
     * @param transport sends the requests
     * @param instanceAddresses returns the addresses of the known live instances
     * @param followsLog returns whether this instance follows the control log, so that its view of
     *     the live instances is current
     * @param clock monotonic clock
     * @param random chooses the instances to exchange with
     */
    public VoterDiscovery(
            String ownAddress,
            VoterDirectory directory,
            PeerTransport transport,
            Supplier<List<String>> instanceAddresses,
            BooleanSupplier followsLog,
            MillisClock clock,
            RandomGenerator random) {
        this.ownAddress = Objects.requireNonNull(ownAddress, "ownAddress");
        this.directory = Objects.requireNonNull(directory, "directory");
        this.transport = Objects.requireNonNull(transport, "transport");
        this.instanceAddresses = Objects.requireNonNull(instanceAddresses, "instanceAddresses");
        this.followsLog = Objects.requireNonNull(followsLog, "followsLog");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.random = Objects.requireNonNull(random, "random");
    }

    /**
     * Registers the handler that replies to other instances. Must be called before the transport
     * starts.
     *
     * @param handlers registry of the transport
     */
    public void register(PeerHandlerRegistry handlers) {
        handlers.register(
                FindVotersRequest.class,
                request -> {
                    learn(request.known());
                    return CompletableFuture.completedFuture(directory.voters());
                });
    }

    /**
     * Starts the periodic exchanges.
     *
     * @param scheduler runs them; not shut down by this class
     */
    public void start(ScheduledExecutorService scheduler) {
        scheduler.scheduleWithFixedDelay(this::tick, 0, SEARCH_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Exchanges the known voters with one instance if that is due; called by one thread. */
    void tick() {
        long nowMs = clock.nowMs();
        if (nowMs < nextExchangeMs) {
            return;
        }
        boolean follows = followsLog.getAsBoolean();
        nextExchangeMs = nowMs + (follows ? INTERVAL_MS : SEARCH_INTERVAL_MS);
        Set<String> members = new LinkedHashSet<>(instanceAddresses.get());
        contacts.add(members, nowMs);
        members.addAll(directory.addresses());
        List<String> targets = chooseTargets(members, follows);
        if (!targets.isEmpty()) {
            exchangeWith(targets.get(random.nextInt(targets.size())));
        }
    }

    /**
     * Returns the instances of which one is asked next. An instance that follows the control log
     * asks members and others by turns, so that neither group waits for the other, however large.
     */
    private List<String> chooseTargets(Set<String> members, boolean follows) {
        Set<String> others = new HashSet<>(directory.discoveryAddresses());
        others.addAll(contacts.addresses());
        others.removeAll(members);
        others.remove(ownAddress);
        List<String> targets = new ArrayList<>(members);
        targets.remove(ownAddress);
        if (!follows) {
            targets.addAll(others);
        } else if (!others.isEmpty() && random.nextBoolean()) {
            targets = new ArrayList<>(others);
        }
        return targets;
    }

    private void exchangeWith(String address) {
        transport
                .call(address, new FindVotersRequest(directory.voters()), TIMEOUT_MS)
                .thenAccept(this::learn)
                // A failure needs no handling: the next request goes to another address.
                .exceptionally(failure -> null);
    }

    /** Learns voters of a control log; those of settings are only further addresses to ask. */
    private void learn(FindVotersRequest.Voters voters) {
        if (!voters.isFromLog()) {
            contacts.add(voters.addresses(), clock.nowMs());
        } else if (directory.updateIfNewer(voters)) {
            LOG.debugf("SAP1014 learned the voters %s", voters.addresses());
        }
    }
}
