package io.sapphirestack.runtime.generation;

import io.sapphirestack.core.generation.GenerationAppend;
import io.sapphirestack.core.generation.GenerationAppendReply;
import io.sapphirestack.core.generation.GenerationSpec;
import io.sapphirestack.core.id.AccountId;
import io.sapphirestack.core.id.GenerationId;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.runtime.transport.PeerMessage;
import io.sapphirestack.runtime.transport.PeerRequest;
import java.util.List;

/** Messages between instances about generations. */
public final class GenerationMessages {

    private GenerationMessages() {}

    /** What an instance is to a generation. */
    public enum HolderState {
        /** Holds no copy. */
        UNKNOWN,
        /** Holds a copy that no longer takes part. */
        FORMER,
        /** Holds a copy as a replica. */
        REPLICA,
        /** Owns the generation. */
        OWNER,
        /** Holds the complete output. */
        COMPLETE
    }

    /**
     * Creates a copy at a replica.
     *
     * @param target incarnation that is asked
     * @param spec request and pinned values
     * @param append first entries
     */
    @PeerMessage(code = 20, reply = GenerationAppendReply.class)
    public record GenerationOpen(InstanceRef target, GenerationSpec spec, GenerationAppend append)
            implements PeerRequest<GenerationAppendReply> {}

    /**
     * Entries of several generations; one batch is in flight per peer.
     *
     * @param target incarnation that is asked
     * @param items entries by generation
     */
    @PeerMessage(code = 21, reply = AppendBatchReply.class)
    public record AppendBatch(InstanceRef target, List<GenerationAppend> items)
            implements PeerRequest<AppendBatchReply> {}

    /**
     * Reply to {@link AppendBatch}.
     *
     * @param replies one reply per item, in the same order
     */
    public record AppendBatchReply(List<GenerationAppendReply> replies) {}

    /**
     * Asks a holder for committed tokens.
     *
     * @param generation identifier
     * @param account client account that asks
     * @param fromOffset offset of the first token wanted
     * @param waitMs longest time to wait for a token, in milliseconds
     */
    @PeerMessage(code = 22, reply = FetchReply.class)
    public record FetchTokens(
            GenerationId generation, AccountId account, long fromOffset, long waitMs)
            implements PeerRequest<FetchReply> {}

    /**
     * Reply to {@link FetchTokens}.
     *
     * @param state what the instance is to the generation; {@code UNKNOWN} also for the generation
     *     of another account
     * @param outOfRange whether the offset lies beyond the output
     * @param batch tokens, or {@code null} if there are none to give
     */
    public record FetchReply(HolderState state, boolean outOfRange, TokenBatch batch) {}

    /**
     * Asks what an instance is to a generation.
     *
     * @param generation identifier
     * @param account client account that asks
     */
    @PeerMessage(code = 23, reply = LocateReply.class)
    public record LocateGeneration(GenerationId generation, AccountId account)
            implements PeerRequest<LocateReply> {}

    /**
     * Reply to {@link LocateGeneration}.
     *
     * @param state what the instance is to the generation
     * @param foreign whether the generation belongs to another account
     * @param epoch epoch of the owner that the instance knows
     * @param members members that the instance knows
     * @param status progress, or {@code null} without a copy
     */
    public record LocateReply(
            HolderState state,
            boolean foreign,
            long epoch,
            List<InstanceRef> members,
            GenerationStatus status) {}

    /**
     * Cancels a generation at its owner.
     *
     * @param generation identifier
     * @param account client account that asks
     */
    @PeerMessage(code = 24, reply = CancelReply.class)
    public record CancelGeneration(GenerationId generation, AccountId account)
            implements PeerRequest<CancelReply> {}

    /**
     * Reply to {@link CancelGeneration}.
     *
     * @param cancelled whether the instance is the owner and the output has ended
     */
    public record CancelReply(boolean cancelled) {}

    /**
     * Registers an idempotency key unless it is registered already.
     *
     * @param account client account
     * @param key idempotency key
     * @param generation generation that the key shall name
     * @param bodyHash hash of the request body
     * @param replaces registered generation that is known not to exist, or {@code null}
     */
    @PeerMessage(code = 25, reply = RegisterKeyReply.class)
    public record RegisterKey(
            AccountId account,
            String key,
            GenerationId generation,
            String bodyHash,
            GenerationId replaces)
            implements PeerRequest<RegisterKeyReply> {}

    /**
     * Reply to {@link RegisterKey}.
     *
     * @param generation generation that the key names now
     * @param bodyHash hash of its request body
     */
    public record RegisterKeyReply(GenerationId generation, String bodyHash) {}

    /**
     * Drops a copy that was opened for a generation that was then refused.
     *
     * @param generation identifier
     * @param epoch epoch of the owner
     */
    @PeerMessage(code = 26, reply = DropReply.class)
    public record DropGeneration(GenerationId generation, long epoch)
            implements PeerRequest<DropReply> {}

    /**
     * Reply to {@link DropGeneration}.
     *
     * @param dropped whether there was a copy
     */
    public record DropReply(boolean dropped) {}
}
