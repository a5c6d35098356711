package io.sapphirestack.core.record;

/** State of the rollout of a version of a service. */
public enum RolloutState {
    /** The traffic moves to the version in stages. */
    IN_PROGRESS,

    /** The version serves all requests; the endpoints of earlier versions get none. */
    ADOPTED,

    /** The version gets no requests. */
    WITHDRAWN
}
