package io.sapphirestack.runtime.endpoint;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.sapphirestack.core.id.InstanceId;
import io.sapphirestack.runtime.transport.PeerMessage;
import io.sapphirestack.runtime.transport.PeerRequest;
import java.util.List;
import java.util.Objects;

/**
 * Endpoint reports and sums of usage for a neighbour in the dissemination tree. Field names are
 * short because each edge carries ten batches per second.
 *
 * @param s sending instance
 * @param t fingerprint of the sender's tree
 * @param r endpoint reports, encoded by {@link io.sapphirestack.core.membership.ReportCodec}
 * @param u account usage, encoded by {@link io.sapphirestack.core.membership.UsageAggregator}
 * @param f requests in flight, encoded by {@link
 *     io.sapphirestack.core.membership.InFlightAggregator}
 * @param b use of retry budgets, encoded by {@link
 *     io.sapphirestack.core.membership.RetryBudgetAggregator}
 * @param q crashes by prompt parts, encoded by {@link
 *     io.sapphirestack.core.quarantine.EvidenceExchange}
 * @param l rate limits of endpoints, encoded by {@link
 *     io.sapphirestack.core.membership.RateLimitAggregator}
 * @param h crashes by request, encoded by {@link io.sapphirestack.core.quarantine.EvidenceExchange}
 * @param o counts of responses during rollouts, encoded by {@link
 *     io.sapphirestack.core.membership.VersionCountsAggregator}; earlier builds ignore it
 */
@PeerMessage(code = 40, reply = DisseminationBatch.Ack.class)
@JsonInclude(JsonInclude.Include.NON_EMPTY)
public record DisseminationBatch(
        InstanceId s,
        int t,
        byte[] r,
        byte[] u,
        byte[] f,
        byte[] b,
        byte[] q,
        byte[] l,
        byte[] h,
        byte[] o)
        implements PeerRequest<DisseminationBatch.Ack> {

    /** Checks that the sender is present; absent byte arrays become empty. */
    public DisseminationBatch {
        Objects.requireNonNull(s, "s");
        r = r == null ? new byte[0] : r;
        u = u == null ? new byte[0] : u;
        f = f == null ? new byte[0] : f;
        b = b == null ? new byte[0] : b;
        q = q == null ? new byte[0] : q;
        l = l == null ? new byte[0] : l;
        h = h == null ? new byte[0] : h;
        o = o == null ? new byte[0] : o;
    }

    /**
     * Creates a batch that contains crashes only.
     *
     * @param sender sending instance
     * @param tree fingerprint of the sender's tree
     * @param byParts crashes by prompt parts
     * @param byRequest crashes by request
     * @return batch
     */
    static DisseminationBatch ofCrashes(
            InstanceId sender, int tree, byte[] byParts, byte[] byRequest) {
        return new DisseminationBatch(
                sender, tree, null, null, null, null, byParts, null, byRequest, null);
    }

    /**
     * Creates a batch that contains endpoint reports only.
     *
     * @param sender sending instance
     * @param tree fingerprint of the sender's tree
     * @param reports endpoint reports
     * @return batch
     */
    static DisseminationBatch ofReports(InstanceId sender, int tree, byte[] reports) {
        return new DisseminationBatch(
                sender, tree, reports, null, null, null, null, null, null, null);
    }

    /** Returns whether the batch contains nothing to apply. */
    boolean hasNoContent() {
        return r.length + u.length + f.length + b.length + q.length + l.length + h.length + o.length
                == 0;
    }

    /**
     * Acknowledgement of a batch.
     *
     * @param m handles of endpoints whose details the receiver lacks
     * @param x whether the sender has to send all sums in full, because the receiver has a
     *     different tree or lacks the entries to which the changes apply
     */
    @JsonInclude(JsonInclude.Include.NON_DEFAULT)
    public record Ack(List<Integer> m, boolean x) {
        /** Copies the list; an absent one becomes empty. */
        public Ack {
            m = m == null ? List.of() : List.copyOf(m);
        }
    }
}
