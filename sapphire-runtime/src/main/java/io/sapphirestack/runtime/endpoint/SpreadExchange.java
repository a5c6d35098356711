package io.sapphirestack.runtime.endpoint;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.sapphirestack.core.id.InstanceId;
import io.sapphirestack.runtime.transport.PeerMessage;
import io.sapphirestack.runtime.transport.PeerRequest;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Anti-entropy between two neighbours. The first request carries only the digest; if the peer's
 * differs, a second one carries the entries.
 *
 * @param sender sending instance
 * @param digest hash of the lives and details that the sender knows
 * @param entries details sequence by short name; empty in the first request
 * @param complete whether the entries are present
 */
@PeerMessage(code = 41, reply = SpreadExchange.Reply.class)
@JsonInclude(JsonInclude.Include.NON_EMPTY)
public record SpreadExchange(
        InstanceId sender, long digest, Map<Integer, Long> entries, boolean complete)
        implements PeerRequest<SpreadExchange.Reply> {

    /** Checks the components; absent entries become empty. */
    public SpreadExchange {
        Objects.requireNonNull(sender, "sender");
        entries = entries == null ? Map.of() : Map.copyOf(entries);
    }

    /**
     * Answer to an exchange.
     *
     * @param equal whether both know the same
     * @param reports full reports that the sender lacks
     * @param wanted short names that the peer lacks
     */
    @JsonInclude(JsonInclude.Include.NON_EMPTY)
    public record Reply(boolean equal, byte[] reports, List<Integer> wanted) {
        /** Copies the list; absent parts become empty. */
        public Reply {
            reports = reports == null ? new byte[0] : reports;
            wanted = wanted == null ? List.of() : List.copyOf(wanted);
        }
    }
}
