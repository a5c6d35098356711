package io.sapphirestack.runtime.http;

import io.sapphirestack.core.error.Refusal;
import io.sapphirestack.core.limit.ByteBudget;
import io.sapphirestack.runtime.connection.MessageLimit;
import org.apache.hc.core5.http.protocol.HttpContext;

/** Memory of the request that a connection of the HTTP interface serves. */
final class RequestMemory {

    private static final String ATTRIBUTE = "sapphire.request-memory";

    private RequestMemory() {}

    static void set(HttpContext context, ByteBudget.Lease lease) {
        context.setAttribute(ATTRIBUTE, lease);
    }

    static ByteBudget.Lease get(HttpContext context) {
        return (ByteBudget.Lease) context.getAttribute(ATTRIBUTE);
    }

    /** Returns the refusal of a request that exceeds a limit before it runs. */
    static Refusal refusalOf(MessageLimit limit) {
        return limit == MessageLimit.MEMORY
                ? Refusal.notExecuted(
                        503,
                        "memory_exhausted",
                        "parse",
                        "This instance has no memory for the request.")
                : Refusal.notExecuted(
                        413,
                        "body_too_large",
                        "parse",
                        "The request exceeds the limit of its "
                                + (limit == MessageLimit.BODY
                                        ? "body."
                                        : "request line and headers."));
    }
}
