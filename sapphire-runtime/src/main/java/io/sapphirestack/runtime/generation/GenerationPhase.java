package io.sapphirestack.runtime.generation;

/** Stage of a generation. */
public enum GenerationPhase {
    /** Tokens are still being produced. */
    RUNNING,
    /** The output is complete and all its tokens are committed. */
    DONE,
    /** The client account cancelled the generation. */
    CANCELLED,
    /** The output is incomplete and was ended, because the request crashes engines. */
    FAILED
}
