package io.sapphirestack.runtime.generation;

import io.sapphirestack.core.id.InstanceRef;

/**
 * Receives reports about instances that do not acknowledge appends. Implementations must be
 * thread-safe and must not block.
 */
@FunctionalInterface
public interface PeerFailureReporter {

    /**
     * Reports an instance.
     *
     * @param peer incarnation that does not acknowledge
     * @param unacknowledgedMs time since the first unacknowledged append was sent, in milliseconds
     */
    void report(InstanceRef peer, long unacknowledgedMs);
}
