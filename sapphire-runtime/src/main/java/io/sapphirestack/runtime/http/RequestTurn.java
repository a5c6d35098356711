package io.sapphirestack.runtime.http;

import java.util.concurrent.atomic.AtomicReference;

/**
 * Decides whether the thread of a connection may serve the next request or another thread may close
 * the connection because it is idle. Only one of the two succeeds, so that no request is cut off
 * whose bytes have been read. Thread-safe.
 */
public final class RequestTurn {

    private final AtomicReference<State> state = new AtomicReference<>(State.SERVING);

    private enum State {
        IDLE,
        SERVING,
        CLOSED
    }

    /**
     * Begins the wait for the next request. Called by the thread of the connection.
     *
     * @return whether the connection is still open
     */
    public boolean tryBeginWait() {
        return state.compareAndSet(State.SERVING, State.IDLE);
    }

    /**
     * Ends the wait, because bytes of a request have arrived. Called by the thread of the
     * connection.
     *
     * @return whether the request may be served
     */
    public boolean tryBeginRequest() {
        return state.compareAndSet(State.IDLE, State.SERVING);
    }

    /**
     * Prevents further requests if none is being served. Called by any thread.
     *
     * @return whether the caller may close the connection
     */
    public boolean tryClose() {
        return state.compareAndSet(State.IDLE, State.CLOSED);
    }
}
