package io.sapphirestack.runtime.control;

import io.sapphirestack.runtime.transport.PeerHandlerRegistry;
import io.sapphirestack.runtime.transport.PeerTransport;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Keeps the directory of voters up to date by asking the known instances in turn. This way an
 * instance finds the current voters even if all voters in its settings have been replaced. After
 * {@link #start} it is used on the scheduler thread only.
 */
public final class VoterDiscovery {

    /**
     * Time between two requests and timeout of each. It may be long, because the voters change only
     * a few times a day.
     */
    private static final long INTERVAL_MS = 500;

    private final VoterDirectory directory;
    private final PeerTransport transport;
    private final Supplier<List<String>> instanceAddresses;
    private int position;

    /**
     * Creates a discovery; {@link #start} begins the requests.
     *
     * @param directory directory to update
     * @param transport sends the requests
     * @param instanceAddresses returns the addresses of the known live instances
     */
    public VoterDiscovery(
            VoterDirectory directory,
            PeerTransport transport,
            Supplier<List<String>> instanceAddresses) {
        this.directory = Objects.requireNonNull(directory, "directory");
        this.transport = Objects.requireNonNull(transport, "transport");
        this.instanceAddresses = Objects.requireNonNull(instanceAddresses, "instanceAddresses");
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
                request -> CompletableFuture.completedFuture(directory.voters()));
    }

    /**
     * Starts the periodic requests.
     *
     * @param scheduler runs the requests; not shut down by this class
     */
    public void start(ScheduledExecutorService scheduler) {
        scheduler.scheduleWithFixedDelay(
                this::queryNextAddress, INTERVAL_MS, INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void queryNextAddress() {
        Set<String> addresses = new LinkedHashSet<>(directory.discoveryAddresses());
        addresses.addAll(instanceAddresses.get());
        List<String> targets = new ArrayList<>(addresses);
        position = (position + 1) % targets.size();
        transport
                .call(targets.get(position), new FindVotersRequest(), INTERVAL_MS)
                .thenAccept(directory::updateIfNewer)
                // A failure needs no handling: the next request goes to another address.
                .exceptionally(failure -> null);
    }
}
