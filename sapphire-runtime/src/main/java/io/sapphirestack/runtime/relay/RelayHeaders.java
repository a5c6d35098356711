package io.sapphirestack.runtime.relay;

import java.util.Set;
import java.util.TreeSet;

/**
 * Names of the header fields that callers, this system and endpoints exchange. An adapter supplies
 * those of its surroundings.
 *
 * @param requestId identifier of one request; endpoints repeat it in their answers
 * @param deadlineMs milliseconds that the sender waits for the answer
 * @param key key of the caller; never passed on
 * @param account client account of the caller, set by this system
 * @param expectedEndpoint endpoint that a request is meant for; any other one refuses it
 * @param lastEventId last event that the receiver of a stream has
 * @param seal proof of the endpoint that an answer is its own
 * @param notRun marks an answer of an endpoint that did not run the request
 * @param standby address of the endpoint that keeps a copy of a running request
 * @param resumeFrom copy from which a request continues
 * @param reserved fields that callers must not set, because they are for this system
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
        Set<String> reserved) {

    /** Fields of the project's own interface. */
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
                    Set.of());

    private static final Set<String> HOP_BY_HOP =
            fold(
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

    /** Makes the names independent of their case. */
    public RelayHeaders {
        reserved = fold(reserved);
    }

    private static Set<String> fold(Set<String> names) {
        Set<String> folded = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);
        folded.addAll(names);
        return folded;
    }

    /**
     * Tells whether a field concerns only one connection.
     *
     * @param name name of the field
     * @return whether it is not passed on
     */
    public static boolean isHopByHop(String name) {
        return HOP_BY_HOP.contains(name);
    }

    /**
     * Tells whether a field of a caller is passed on to an endpoint.
     *
     * @param name name of the field
     * @return whether the caller's value is passed on
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
                && !name.equalsIgnoreCase(lastEventId);
    }
}
