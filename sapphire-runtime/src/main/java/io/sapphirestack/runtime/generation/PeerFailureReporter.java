package io.sapphirestack.runtime.generation;

import io.sapphirestack.core.id.InstanceRef;

/** Takes reports about instances that do not acknowledge appends. Thread-safe; must not block. */
@FunctionalInterface
public interface PeerFailureReporter {

    /**
     * Reports an instance.
     *
     * @param peer incarnation that does not acknowledge
     * @param silentMs time since the first unacknowledged append, in milliseconds
     */
    void report(InstanceRef peer, long silentMs);
}
