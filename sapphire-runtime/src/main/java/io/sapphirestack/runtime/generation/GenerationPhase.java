package io.sapphirestack.runtime.generation;

/** Stage of a generation. */
public enum GenerationPhase {
    /** Tokens are still being produced. */
    RUNNING,
    /** All tokens are committed. */
    DONE,
    /** Cancelled by its client account. */
    CANCELLED
}
