package io.sapphirestack.runtime.relay;

import io.sapphirestack.core.routing.EndpointState;

/** Checks whether a response of an endpoint belongs to a request and is authentic. */
final class ResponseChecks {

    private static final int MISDIRECTED = 421;

    private ResponseChecks() {}

    /**
     * Returns whether a response carries the identifier of the request, or the request has none.
     */
    static boolean belongsTo(UpstreamResponseHead response, RelayedRequest request) {
        return request.id().isEmpty()
                || response.header(request.headers().requestId())
                        .map(id -> id.equals(request.id()))
                        // A refusal sent before the request was read does not carry its identifier.
                        .orElse(!response.isSuccess());
    }

    /** Returns whether the endpoint reports that it did not run the request. */
    static boolean isNotRun(UpstreamResponseHead response, RelayHeaders headers) {
        return response.status() == MISDIRECTED || response.header(headers.notRun()).isPresent();
    }

    /**
     * Rejects a success without a seal, because any process at that address may have sent it.
     *
     * @throws UpstreamException if the response is a success without a seal
     */
    static void requireSeal(
            UpstreamResponseHead response, RelayHeaders headers, EndpointState endpoint)
            throws UpstreamException {
        if (response.isSuccess() && response.header(headers.seal()).isEmpty()) {
            throw new UpstreamException(
                    "receive", endpoint.address(), "the response has no seal", true, null);
        }
    }
}
