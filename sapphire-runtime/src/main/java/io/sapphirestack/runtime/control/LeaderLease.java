package io.sapphirestack.runtime.control;

import io.sapphirestack.core.replication.LeaderTerm;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Leader lease of this voter, for actions that only the leader may take. Implementations are
 * thread-safe.
 */
public interface LeaderLease {

    /**
     * Returns the current term of this voter as leader.
     *
     * @return term whose lease is valid now, or empty if this voter does not hold the lease. The
     *     leader knows all entries that earlier leaders committed.
     */
    Optional<LeaderTerm> current();

    /**
     * Registers a listener for gained and lost leadership. The loss may be reported late, so {@link
     * #current()} must be called directly before each action that requires the lease.
     *
     * @param listener called on the voter thread with the new term, or empty when the leadership is
     *     lost; must return quickly
     */
    void addListener(Consumer<Optional<LeaderTerm>> listener);
}
