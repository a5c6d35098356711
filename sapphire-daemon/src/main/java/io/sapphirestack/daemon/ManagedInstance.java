package io.sapphirestack.daemon;

import io.sapphirestack.core.error.SapphireException;
import java.io.Closeable;
import java.util.concurrent.CompletableFuture;

/**
 * Instance that {@link InstanceProcess} runs as a process. {@link #planStop} and {@link
 * #stopCompletion} may be called by any thread.
 */
public interface ManagedInstance extends Closeable {

    /**
     * Starts all components.
     *
     * @throws SapphireException if the instance cannot start
     */
    void start() throws SapphireException;

    /** Requests a planned stop; returns without waiting for it. */
    void planStop();

    /** Returns a future that completes when a planned stop is complete and the process may exit. */
    CompletableFuture<Void> stopCompletion();

    /** Stops all components immediately, without a planned stop. */
    @Override
    void close();
}
