package io.sapphirestack.runtime.generation;

import io.sapphirestack.core.generation.AttemptRecord;
import io.sapphirestack.core.id.EndpointId;
import java.util.Set;

/** Callbacks to the owner of the generation. Thread-safe. */
interface AttemptCallbacks {
    /** Called after a token was stored or the output ended. */
    void onStored(LocalGeneration generation);

    /** Starts a second runner whose attempt competes with a suspected one. */
    void startSpeculative(LocalGeneration generation, long epoch, Set<EndpointId> excluded);

    /** Ends a generation because it crashes engines. */
    void fail(LocalGeneration generation);

    /** Cancels an attempt on its engine on another thread; failures are ignored. */
    void cancel(LocalGeneration generation, AttemptRecord attempt);
}
