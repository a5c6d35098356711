package io.sapphirestack.core.record;

/**
 * Policy for a generation whose engine neither sends data on the stream nor responds to a probe.
 */
public enum ResumePolicy {
    /** Start the next attempt immediately. */
    LATENCY,
    /**
     * Continue to probe for a limited time and re-attach if the engine responds, so that no token
     * is computed twice.
     */
    RESOURCE,
    /** Start the next attempt immediately and keep the attempt that delivers a token first. */
    SPECULATIVE
}
