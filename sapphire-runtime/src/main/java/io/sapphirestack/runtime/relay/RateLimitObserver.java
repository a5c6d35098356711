package io.sapphirestack.runtime.relay;

import io.sapphirestack.core.limit.NamedRateLimits;
import io.sapphirestack.core.membership.MergedEndpointState;
import io.sapphirestack.core.routing.EndpointState;
import io.sapphirestack.runtime.metrics.EventLog;
import java.util.Optional;
import java.util.OptionalInt;

/** Reads the rate limits that endpoints name in their responses. Thread-safe. */
final class RateLimitObserver implements AttemptObserver {

    private static final EventLog LOG = EventLog.of(RateLimitObserver.class);

    private final NamedRateLimits limits;

    RateLimitObserver(NamedRateLimits limits) {
        this.limits = limits;
    }

    /** Records the limit in a response, or that it names none. */
    @Override
    public void onHead(
            UpstreamResponseHead head,
            RelayedRequest request,
            EndpointState endpoint,
            long sentAtMs) {
        Optional<String> value = head.header(request.headers().rateLimit());
        if (value.isEmpty() && limits.isEmpty()) {
            return;
        }
        int handle = MergedEndpointState.handleOf(endpoint.id(), endpoint.epochMs());
        if (value.isEmpty()) {
            log(limits.recordNoLimit(handle, sentAtMs), "", request, endpoint);
            return;
        }
        OptionalInt milliPerS = NamedRateLimits.parseMilliPerS(value.get());
        if (milliPerS.isEmpty()) {
            LOG.debug("SAP1933", "An endpoint names a malformed rate limit", "value", value.get());
            return;
        }
        log(limits.recordLimit(handle, milliPerS.getAsInt()), value.get(), request, endpoint);
    }

    private static void log(
            NamedRateLimits.Change change,
            String limitPerS,
            RelayedRequest request,
            EndpointState endpoint) {
        if (change != NamedRateLimits.Change.NONE) {
            LOG.info(
                    "SAP1931",
                    "The rate limit that an endpoint names changed",
                    "request",
                    request.id(),
                    "endpoint",
                    endpoint.id(),
                    "change",
                    change,
                    "limitPerS",
                    limitPerS);
        }
    }
}
