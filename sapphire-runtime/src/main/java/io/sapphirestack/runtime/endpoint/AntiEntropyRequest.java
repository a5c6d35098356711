package io.sapphirestack.runtime.endpoint;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.sapphirestack.core.id.InstanceId;
import io.sapphirestack.runtime.transport.PeerMessage;
import io.sapphirestack.runtime.transport.PeerRequest;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Request of an anti-entropy exchange between two neighbours in the dissemination tree. The first
 * request carries only the digest; if the peer's digest differs, a second request carries the
 * entries.
 *
 * @param sender sending instance
 * @param digest hash over the endpoints, details sequences and phases that the sender knows
 * @param entries details sequence and phase of each endpoint by handle; empty in the first request
 * @param complete whether the entries are present
 */
@PeerMessage(code = 41, reply = AntiEntropyRequest.AntiEntropyReply.class)
@JsonInclude(JsonInclude.Include.NON_EMPTY)
public record AntiEntropyRequest(
        InstanceId sender, long digest, Map<Integer, Long> entries, boolean complete)
        implements PeerRequest<AntiEntropyRequest.AntiEntropyReply> {

    /** Checks that the sender is present; absent entries become an empty map. */
    public AntiEntropyRequest {
        Objects.requireNonNull(sender, "sender");
        entries = entries == null ? Map.of() : Map.copyOf(entries);
    }

    /**
     * Reply to a request.
     *
     * @param equal whether the digests are equal
     * @param reports full reports of endpoints for which the sender's entry is missing or older
     * @param wanted handles of endpoints for which the replying instance's entry is missing or
     *     older
     */
    @JsonInclude(JsonInclude.Include.NON_EMPTY)
    public record AntiEntropyReply(boolean equal, byte[] reports, List<Integer> wanted) {
        /** Copies the list; absent parts become empty. */
        public AntiEntropyReply {
            reports = reports == null ? new byte[0] : reports;
            wanted = wanted == null ? List.of() : List.copyOf(wanted);
        }
    }
}
