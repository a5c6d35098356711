package io.sapphirestack.runtime.relay;

import java.util.OptionalInt;

/** Decides how urgent an attempt of a stream is for its engine. Thread-safe. */
@FunctionalInterface
interface UrgencyPolicy {

    /**
     * Returns the urgency of the attempts of a stream.
     *
     * @param request request
     * @return urgency from 0, the most urgent, to 9; empty for the default of the engine
     */
    OptionalInt urgency(RelayedRequest request);
}
