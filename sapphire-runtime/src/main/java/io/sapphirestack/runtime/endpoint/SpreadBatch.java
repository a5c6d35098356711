package io.sapphirestack.runtime.endpoint;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.sapphirestack.core.id.InstanceId;
import io.sapphirestack.runtime.transport.PeerMessage;
import io.sapphirestack.runtime.transport.PeerRequest;
import java.util.List;
import java.util.Objects;

/**
 * Endpoint reports and account usage for a neighbour in the dissemination tree. Field names are
 * short because ten batches a second cross each edge.
 *
 * @param s sending instance
 * @param t fingerprint of the sender's tree
 * @param r reports in the form of {@link io.sapphirestack.core.membership.ReportCodec}
 * @param u usage in the form of {@link io.sapphirestack.core.membership.UsageAggregator}
 * @param f work in flight in the form of {@link
 *     io.sapphirestack.core.membership.InFlightAggregator}
 * @param b use of repeat budgets in the form of {@link
 *     io.sapphirestack.core.membership.RepeatAggregator}
 */
@PeerMessage(code = 40, reply = SpreadBatch.Ack.class)
@JsonInclude(JsonInclude.Include.NON_EMPTY)
public record SpreadBatch(InstanceId s, int t, byte[] r, byte[] u, byte[] f, byte[] b)
        implements PeerRequest<SpreadBatch.Ack> {

    /** Checks the components; absent bytes become empty. */
    public SpreadBatch {
        Objects.requireNonNull(s, "s");
        r = r == null ? new byte[0] : r;
        u = u == null ? new byte[0] : u;
        f = f == null ? new byte[0] : f;
        b = b == null ? new byte[0] : b;
    }

    /** Returns whether the batch tells nothing. */
    boolean saysNothing() {
        return r.length + u.length + f.length + b.length == 0;
    }

    /**
     * Acknowledgement.
     *
     * @param m short names of endpoints whose details the receiver lacks
     * @param x whether all sums have to be sent again as a whole, because the receiver has another
     *     tree or does not know what the changes refer to
     */
    @JsonInclude(JsonInclude.Include.NON_DEFAULT)
    public record Ack(List<Integer> m, boolean x) {
        /** Copies the list; an absent one becomes empty. */
        public Ack {
            m = m == null ? List.of() : List.copyOf(m);
        }
    }
}
