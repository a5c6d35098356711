package io.sapphirestack.runtime.control;

import io.sapphirestack.core.replication.LeaderTerm;
import java.util.Optional;
import java.util.function.Consumer;

/** Leadership of this voter, for work that only the leader does. Thread-safe. */
public interface LeaderLease {

    /**
     * Returns the current leadership.
     *
     * @return leadership whose lease is valid now, or empty. The leader has applied everything that
     *     earlier leaders committed.
     */
    Optional<LeaderTerm> current();

    /**
     * Registers a listener for gained and lost leadership. A lost leadership may be reported late;
     * {@link #current()} must be asked directly before each step that needs the lease.
     *
     * @param listener called on the voter's thread with the new leadership; must return quickly
     */
    void addListener(Consumer<Optional<LeaderTerm>> listener);
}
