package io.sapphirestack.runtime.relay;

import java.util.Set;
import java.util.TreeSet;

/**
 * Names of the header fields used between callers, this system and endpoints. An adapter supplies
 * the names that its platform uses.
 *
 * @param requestId identifier of one request; endpoints copy it to their responses
 * @param deadlineMs time that the sender waits for the response, in milliseconds
 * @param key API key of the caller; never forwarded
 * @param account client account of the caller; set by this system
 * @param expectedEndpoint identifier of the endpoint that a request is sent to; any other endpoint
 *     refuses it
 * @param lastEventId identifier of the last event that the receiver of a stream has
 * @param seal seal by which an endpoint proves that a response is its own
 * @param notRun present in the response of an endpoint that did not run the request
 * @param standby address of the endpoint that keeps a standby copy of a running request
 * @param resumeFrom standby copy from which a request continues
 * @param promptParts parts of the prompt in order, as comma-separated {@code id:tokens} entries;
 *     the last part belongs to the request or its session
 * @param rateLimit requests per second that an endpoint takes from all instances together, a
 *     decimal number in its responses
 * @param load load that an endpoint reports in its responses: {@code running,waiting,slots}, with
 *     {@code ,pace} in percent of the usual service time if it knows it
 * @param leaving {@code 1} in the responses of an endpoint that is leaving
 * @param urgency urgency of a stream for its engine, from 0, the most urgent, to 9; set by this
 *     system
 * @param reserved further fields that are dropped from the requests of callers, because only this
 *     system may set them
 */
public record RelayHeaders(
        String requestId,
        String deadlineMs,
        String key,
        String account,
        String expectedEndpoint,
        String lastEventId,
        String seal,
        String notRun,
        String standby,
        String resumeFrom,
        String promptParts,
        String rateLimit,
        String load,
        String leaving,
        String urgency,
        Set<String> reserved) {

    /** Names of the project's own HTTP interface. */
    public static final RelayHeaders DEFAULT =
            new RelayHeaders(
                    "Sapphire-Request-Id",
                    "Sapphire-Deadline-Ms",
                    "Sapphire-Key",
                    "Sapphire-Account",
                    "Sapphire-Endpoint",
                    "Last-Event-ID",
                    "Sapphire-Seal",
                    "Sapphire-Not-Run",
                    "Sapphire-Standby",
                    "Sapphire-Resume-From",
                    "Sapphire-Prompt-Parts",
                    "Sapphire-Rate-Limit",
                    "Sapphire-Load",
                    "Sapphire-Leaving",
                    "Sapphire-Urgency",
                    Set.of());

    private static final Set<String> HOP_BY_HOP =
            caseInsensitive(
                    Set.of(
                            "Connection",
                            "Keep-Alive",
                            "Proxy-Connection",
                            "Proxy-Authenticate",
                            "Proxy-Authorization",
                            "TE",
                            "Trailer",
                            "Transfer-Encoding",
                            "Upgrade",
                            "Content-Length",
                            "Expect"));

    /** Copies the reserved names to a set that ignores case. */
    public RelayHeaders {
        reserved = caseInsensitive(reserved);
    }

    private static Set<String> caseInsensitive(Set<String> names) {
        Set<String> result = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);
        result.addAll(names);
        return result;
    }

    /**
     * Returns whether a field applies to a single connection (hop-by-hop).
     *
     * @param name name of the field
     * @return whether the field must not be forwarded
     */
    public static boolean isHopByHop(String name) {
        return HOP_BY_HOP.contains(name);
    }

    /**
     * Returns whether a field of a caller is forwarded to an endpoint.
     *
     * @param name name of the field
     * @return whether the caller's value is forwarded
     */
    boolean isForwarded(String name) {
        return !isHopByHop(name)
                && !reserved.contains(name)
                && !name.equalsIgnoreCase(key)
                && !name.equalsIgnoreCase(account)
                && !name.equalsIgnoreCase(deadlineMs)
                && !name.equalsIgnoreCase(expectedEndpoint)
                && !name.equalsIgnoreCase(standby)
                && !name.equalsIgnoreCase(resumeFrom)
                && !name.equalsIgnoreCase(urgency)
                && !name.equalsIgnoreCase(lastEventId);
    }
}
