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

/** Messages that instances exchange about generations. */
public final class GenerationMessages {

    private GenerationMessages() {}

    /**
     * Role of an instance for a generation. The order matters: a later constant is a better source
     * for reads.
     */
    public enum HolderState {
        /** Holds no copy. */
        UNKNOWN,
        /** Holds a copy but is no longer a member. */
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
     * @param target incarnation that the message is meant for
     * @param spec request and pinned values
     * @param append first append
     */
    @PeerMessage(code = 20, reply = GenerationAppendReply.class)
    public record GenerationOpen(InstanceRef target, GenerationSpec spec, GenerationAppend append)
            implements PeerRequest<GenerationAppendReply> {}

    /**
     * Appends of several generations. At most one batch is in flight per peer.
     *
     * @param target incarnation that the message is meant for
     * @param items appends, at most one per generation
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
     * Requests committed tokens from a holder.
     *
     * @param generation identifier of the generation
     * @param account client account of the caller
     * @param fromOffset offset of the first token to return
     * @param waitMs longest time to wait for a token, in milliseconds
     */
    @PeerMessage(code = 22, reply = FetchReply.class)
    public record FetchTokens(
            GenerationId generation, AccountId account, long fromOffset, long waitMs)
            implements PeerRequest<FetchReply> {}

    /**
     * Reply to {@link FetchTokens}.
     *
     * @param state role of the instance; {@code UNKNOWN} also for a generation of another account
     * @param outOfRange whether the offset lies beyond the output
     * @param batch tokens, possibly none, or {@code null} if the instance cannot serve the read
     */
    public record FetchReply(HolderState state, boolean outOfRange, TokenBatch batch) {}

    /**
     * Queries the role of an instance for a generation.
     *
     * @param generation identifier of the generation
     * @param account client account of the caller
     */
    @PeerMessage(code = 23, reply = LocateReply.class)
    public record LocateGeneration(GenerationId generation, AccountId account)
            implements PeerRequest<LocateReply> {}

    /**
     * Reply to {@link LocateGeneration}.
     *
     * @param state role of the instance
     * @param foreign whether the generation belongs to another account
     * @param epoch highest epoch of an owner that the instance knows; 0 without a copy
     * @param members latest member list that the instance knows; empty without a copy
     * @param status progress, or {@code null} if there is no copy or it belongs to another account
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
     * @param generation identifier of the generation
     * @param account client account of the caller
     */
    @PeerMessage(code = 24, reply = CancelReply.class)
    public record CancelGeneration(GenerationId generation, AccountId account)
            implements PeerRequest<CancelReply> {}

    /**
     * Reply to {@link CancelGeneration}.
     *
     * @param cancelled whether the instance is the owner and has ended the output
     */
    public record CancelReply(boolean cancelled) {}

    /**
     * Registers an idempotency key unless it is registered already.
     *
     * @param account client account
     * @param key idempotency key
     * @param generation generation to register under the key
     * @param bodyHash hash of the request body
     * @param replaces registered generation that does not exist and may be replaced, or {@code
     *     null}
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
     * @param generation generation that is now registered under the key
     * @param bodyHash hash of the request body of that generation
     */
    public record RegisterKeyReply(GenerationId generation, String bodyHash) {}

    /**
     * Drops the copy of a generation that was refused after the copy had been created.
     *
     * @param generation identifier of the generation
     * @param epoch epoch of the owner
     */
    @PeerMessage(code = 26, reply = DropReply.class)
    public record DropGeneration(GenerationId generation, long epoch)
            implements PeerRequest<DropReply> {}

    /**
     * Reply to {@link DropGeneration}.
     *
     * @param dropped whether a copy was dropped
     */
    public record DropReply(boolean dropped) {}
}
