package io.sapphirestack.runtime.relay;

import io.sapphirestack.core.routing.EndpointState;

/** Tells whether bytes that came from an endpoint are the answer to a request. */
final class AnswerChecks {

    private static final int MISDIRECTED = 421;

    private AnswerChecks() {}

    /** Returns whether an answer names the request, or the caller gave the request no name. */
    static boolean belongsTo(UpstreamAnswer answer, RelayedRequest request) {
        return request.id().isEmpty()
                || answer.header(request.headers().requestId())
                        .map(id -> id.equals(request.id()))
                        // Refusals before the request was read do not repeat its identifier.
                        .orElse(!answer.isSuccess());
    }

    /** Returns whether the endpoint says that it did not run the request. */
    static boolean isNotRun(UpstreamAnswer answer, RelayHeaders headers) {
        return answer.status() == MISDIRECTED || answer.header(headers.notRun()).isPresent();
    }

    /** A success without the proof of an endpoint may come from anything at that address. */
    static void requireSeal(UpstreamAnswer answer, RelayHeaders headers, EndpointState endpoint)
            throws UpstreamException {
        if (answer.isSuccess() && answer.header(headers.seal()).isEmpty()) {
            throw new UpstreamException(
                    "receive", endpoint.address(), "the answer bears no seal", true, null);
        }
    }
}
