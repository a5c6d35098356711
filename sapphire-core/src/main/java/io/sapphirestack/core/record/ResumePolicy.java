package io.sapphirestack.core.record;

/** What to do with a generation whose engine answers neither its stream nor a probe. */
public enum ResumePolicy {
    /** Start the next attempt at once. */
    LATENCY,
    /**
     * Keep probing for a while and re-attach if the engine answers, so that no token is computed
     * twice.
     */
    RESOURCE,
    /** Start the next attempt at once but keep whichever attempt delivers first. */
    SPECULATIVE
}
