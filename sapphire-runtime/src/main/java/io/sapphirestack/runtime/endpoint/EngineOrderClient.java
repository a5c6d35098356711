package io.sapphirestack.runtime.endpoint;

import io.sapphirestack.core.control.EndpointOrder;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

/**
 * Sends orders to engines and reads their state. Implementations are thread-safe, and calls do not
 * block.
 */
public interface EngineOrderClient {

    /** Outcome of sending an order. */
    enum SendOutcome {
        /** The engine has accepted the order. */
        ACCEPTED,
        /** The engine has refused the order, because it has seen a higher fencing token. */
        FENCED,
        /** The engine has refused the order for another reason. */
        REFUSED,
        /** The check before sending failed, and nothing was sent. */
        NOT_SENT
    }

    /**
     * Sends an order.
     *
     * @param address {@code host:port} of the engine
     * @param fencingToken fencing token of the order
     * @param order order to send
     * @param mayBeSent checked immediately before the first byte of the request is sent
     * @return outcome; completes exceptionally with {@link EndpointException} if the call failed,
     *     in which case the engine may have received the order
     */
    CompletableFuture<SendOutcome> send(
            String address, long fencingToken, EndpointOrder order, BooleanSupplier mayBeSent);

    /**
     * Reads the state of an engine.
     *
     * @param address {@code host:port} of the engine
     * @return state; completes exceptionally with {@link EndpointException} if the call failed
     */
    CompletableFuture<EngineState> state(String address);
}
