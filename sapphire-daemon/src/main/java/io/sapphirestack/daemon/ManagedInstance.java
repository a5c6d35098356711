package io.sapphirestack.daemon;

import io.sapphirestack.core.error.SapphireException;
import java.io.Closeable;
import java.util.concurrent.CompletableFuture;

/** Instance whose process {@link InstanceProcess} runs. */
public interface ManagedInstance extends Closeable {

    /**
     * Starts all parts.
     *
     * @throws SapphireException if the instance cannot start
     */
    void start() throws SapphireException;

    /** Begins a planned stop. */
    void planStop();

    /** Returns a future that completes when a planned stop is done and the process may end. */
    CompletableFuture<Void> stopCompletion();

    /** Stops all parts at once, without a planned stop. */
    @Override
    void close();
}
