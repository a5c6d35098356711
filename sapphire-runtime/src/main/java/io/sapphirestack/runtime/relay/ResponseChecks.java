package io.sapphirestack.runtime.relay;

import io.sapphirestack.core.routing.EndpointState;
import io.sapphirestack.runtime.error.ServiceException;
import io.sapphirestack.runtime.metrics.EventLog;
import java.util.Optional;

/** Checks whether a response of an endpoint belongs to a request and is authentic. */
final class ResponseChecks {

    private static final EventLog LOG = EventLog.of(ResponseChecks.class);

    private static final int MISDIRECTED = 421;

    /** Responses to other requests that one attempt discards; one more ends it. */
    private static final int MAX_DISCARDED_RESPONSES = 8;

    private ResponseChecks() {}

    /**
     * Waits for the head of the response to a request; discards responses to other requests.
     *
     * @throws UpstreamException if the response cannot be attributed to the request, is a success
     *     without a seal, or follows too many responses to other requests
     */
    static UpstreamResponseHead receiveHead(
            UpstreamConnection connection,
            RelayedRequest request,
            UpstreamConnection.WaitCheck check)
            throws ServiceException {
        for (int discarded = 0; discarded <= MAX_DISCARDED_RESPONSES; discarded++) {
            UpstreamResponseHead head = connection.receiveHead(check);
            if (belongsTo(head, request, connection)) {
                requireSeal(head, request.headers(), connection.endpoint());
                return head;
            }
            connection.discardBody(check);
            LOG.info(
                    "SAP1911",
                    "A late response to another request was discarded",
                    "request",
                    request.id(),
                    "endpoint",
                    connection.endpoint().id());
        }
        throw new UpstreamException(
                "receive",
                connection.endpoint().address(),
                "the endpoint sent only responses to other requests",
                true,
                null);
    }

    /**
     * Returns whether a response belongs to a request.
     *
     * <p>A refusal sent before the request was read does not carry its identifier. It is accepted
     * on a new connection only: on a reused one it may be a late copy of an earlier response.
     *
     * @throws UpstreamException if a response on a reused connection carries no identifier
     */
    private static boolean belongsTo(
            UpstreamResponseHead response, RelayedRequest request, UpstreamConnection connection)
            throws UpstreamException {
        if (request.id().isEmpty()) {
            return true;
        }
        Optional<String> id = response.header(request.headers().requestId());
        if (id.isPresent()) {
            return id.get().equals(request.id());
        }
        if (connection.isReused() || response.isSuccess()) {
            throw new UpstreamException(
                    "receive",
                    connection.endpoint().address(),
                    "the response carries no request identifier",
                    true,
                    null);
        }
        return true;
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
    private static void requireSeal(
            UpstreamResponseHead response, RelayHeaders headers, EndpointState endpoint)
            throws UpstreamException {
        if (response.isSuccess() && response.header(headers.seal()).isEmpty()) {
            throw new UpstreamException(
                    "receive", endpoint.address(), "the response has no seal", true, null);
        }
    }
}
