package io.sapphirestack.runtime.control;

import io.sapphirestack.core.replication.LeaderTerm;
import io.sapphirestack.core.time.MillisClock;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

/** Leader lease that the voter thread publishes. Thread-safe. */
final class DefaultLeaderLease implements LeaderLease {

    private final MillisClock clock;
    private final AtomicReference<Optional<LeaderTerm>> term =
            new AtomicReference<>(Optional.empty());
    private final List<Consumer<Optional<LeaderTerm>>> listeners = new CopyOnWriteArrayList<>();

    DefaultLeaderLease(MillisClock clock) {
        this.clock = clock;
    }

    @Override
    public Optional<LeaderTerm> current() {
        return term.get().filter(value -> value.isLeaseValidAt(clock.nowMs()));
    }

    @Override
    public void addListener(Consumer<Optional<LeaderTerm>> listener) {
        listeners.add(Objects.requireNonNull(listener, "listener"));
    }

    /**
     * Publishes a new or renewed lease, or empty if this voter does not lead. Listeners are called
     * only if the term changes.
     */
    void publish(Optional<LeaderTerm> current) {
        Optional<LeaderTerm> previous = term.getAndSet(current);
        if (!previous.map(LeaderTerm::term).equals(current.map(LeaderTerm::term))) {
            listeners.forEach(listener -> listener.accept(current));
        }
    }
}
