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
 * Keeps the directory of voters up to date: asks one instance after the other. An instance whose
 * settings name no voter any more learns the voters from any other instance that way.
 */
public final class VoterDiscovery {

    /** Time between two questions, in milliseconds; voters change a few times a day. */
    private static final long INTERVAL_MS = 500;

    private final VoterDirectory directory;
    private final PeerTransport transport;
    private final Supplier<List<String>> instances;
    private int position;

    /**
     * Creates a finder.
     *
     * @param directory takes what is found
     * @param transport sends the questions
     * @param instances returns the addresses of the live instances that are known
     */
    public VoterDiscovery(
            VoterDirectory directory, PeerTransport transport, Supplier<List<String>> instances) {
        this.directory = Objects.requireNonNull(directory, "directory");
        this.transport = Objects.requireNonNull(transport, "transport");
        this.instances = Objects.requireNonNull(instances, "instances");
    }

    /**
     * Registers the handler; called before the transport starts.
     *
     * @param handlers registry of the transport
     */
    public void register(PeerHandlerRegistry handlers) {
        handlers.register(
                FindVotersRequest.class,
                request -> CompletableFuture.completedFuture(directory.voters()));
    }

    /**
     * Starts to ask.
     *
     * @param scheduler runs the questions
     */
    public void start(ScheduledExecutorService scheduler) {
        scheduler.scheduleWithFixedDelay(
                this::ask, INTERVAL_MS, INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void ask() {
        Set<String> contacts = new LinkedHashSet<>(directory.discoveryAddresses());
        contacts.addAll(instances.get());
        List<String> all = new ArrayList<>(contacts);
        position = (position + 1) % all.size();
        transport
                .call(all.get(position), new FindVotersRequest(), INTERVAL_MS)
                .thenAccept(directory::updateIfNewer)
                // The next question goes to another instance.
                .exceptionally(failure -> null);
    }
}
