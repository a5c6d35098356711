package io.sapphirestack.runtime.endpoint;

import io.sapphirestack.core.control.EndpointOrder;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

/** Sends orders to engines and reads their state. Thread-safe; calls do not block. */
public interface EngineOrderClient {

    /** What became of an order. */
    enum OrderReply {
        /** The engine executes it. */
        ACCEPTED,
        /** The engine has seen a higher token. */
        FENCED,
        /** The engine refused for another reason. */
        REFUSED,
        /** The check before sending failed; nothing was sent. */
        NOT_SENT
    }

    /**
     * Sends an order.
     *
     * @param address {@code host:port} of the engine
     * @param fencingToken token of the order
     * @param order what the engine does
     * @param mayBeSent checked directly before the first byte of the request
     * @return reply, or a failure with {@link EndpointException} if the engine may or may not have
     *     got it
     */
    CompletableFuture<OrderReply> send(
            String address, long fencingToken, EndpointOrder order, BooleanSupplier mayBeSent);

    /**
     * Reads the state of an engine.
     *
     * @param address {@code host:port} of the engine
     * @return state, or a failure with {@link EndpointException}
     */
    CompletableFuture<EngineState> state(String address);
}
