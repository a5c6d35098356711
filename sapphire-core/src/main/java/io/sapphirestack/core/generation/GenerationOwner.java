package io.sapphirestack.core.generation;

import io.sapphirestack.core.id.InstanceRef;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * State machine of the owner of one generation: receives tokens of the admitted attempts and
 * replies of replicas, and produces the appends for each replica. Not thread-safe.
 *
 * <p>An entry is committed when every live member has acknowledged it. A new replica starts as a
 * learner. When it has stored all committed entries it becomes a member, so that commits wait for
 * it. When all members before it know the longer member list it becomes active and may take over.
 */
public final class GenerationOwner {

    /**
     * Maximum size of the tokens in one append, in bytes. A larger frame would delay the other
     * messages on the connection.
     */
    private static final int MAX_APPEND_BYTES = 256 * 1_024;

    /** Result of offering a token, or the end of the output, that an attempt delivered. */
    public enum OfferResult {
        /** Stored as the next entry. */
        APPENDED,
        /** Stored as the next entry; the other attempts were removed and should be cancelled. */
        APPENDED_AND_SETTLED,
        /** An entry with this offset exists; nothing changed. */
        DUPLICATE,
        /** The attempt is no longer admitted, or the output has ended; nothing changed. */
        REFUSED,
        /** Tokens before this one are missing; nothing changed. */
        GAP
    }

    /** Effect of a reply on the generation. */
    public enum ReplyEffect {
        /** The committed offset did not change. */
        NONE,
        /** The committed offset increased. */
        COMMITTED,
        /** An owner with a higher epoch exists; this instance must give up ownership. */
        STEP_DOWN
    }

    private static final class Peer {
        private final InstanceRef ref;
        private boolean learner;
        private boolean hasCopy;
        private boolean storedInEpoch;
        private long epochStartOffset;
        private long nextOffset;
        private long ackedLength;
        private long sentHeaderVersion;
        private long ackedHeaderVersion;
        private long sentCommittedLength = -1;
        private long ackedCommittedLength = -1;
        private long activationVersion;

        private Peer(InstanceRef ref, boolean learner, long nextOffset) {
            this.ref = ref;
            this.learner = learner;
            this.hasCopy = !learner;
            this.epochStartOffset = nextOffset;
            this.nextOffset = nextOffset;
        }
    }

    private final GenerationSpec spec;
    private final GenerationLog log;
    private final AdmittedAttempts attempts;
    private final Map<InstanceRef, Peer> peers = new LinkedHashMap<>();
    private final long epoch;
    private ReplicaSet replicas;
    private long headerVersion = 1;
    private long memberListVersion = 1;

    GenerationOwner(
            GenerationSpec spec,
            GenerationLog log,
            ReplicaSet replicas,
            AdmittedAttempts attempts) {
        this.spec = spec;
        this.log = log;
        // The previous owner may have failed before it knew that this member was already active.
        this.replicas = replicas.active() == 0 ? replicas.withNextActive() : replicas;
        this.epoch = replicas.epoch();
        this.attempts = attempts;
        log.beginEpoch(epoch);
        for (InstanceRef member : replicas.members().subList(1, replicas.members().size())) {
            Peer peer = new Peer(member, false, log.committedLength());
            peer.activationVersion = memberListVersion;
            peers.put(member, peer);
        }
        promoteAndCommit();
    }

    /** Returns the epoch of this ownership. */
    public long epoch() {
        return epoch;
    }

    /** Returns the owner's member list. */
    public ReplicaSet replicas() {
        return replicas;
    }

    /** Returns the current attempt. */
    public AttemptRecord attempt() {
        return attempts.current();
    }

    /** Returns the instances that receive appends: members other than the owner, and learners. */
    public List<InstanceRef> peers() {
        return List.copyOf(peers.keySet());
    }

    /**
     * Returns whether a peer is an active member and has acknowledged that it is active.
     *
     * @param ref incarnation of the peer
     * @return whether the peer knows that it may take over
     */
    public boolean hasConfirmedActivation(InstanceRef ref) {
        Peer peer = peers.get(ref);
        return peer != null
                && replicas.isActive(ref)
                && peer.ackedHeaderVersion >= peer.activationVersion;
    }

    /**
     * Returns whether a copy must be created on a peer before it can store appends.
     *
     * @param ref incarnation of the peer
     * @return whether the peer has no copy
     */
    public boolean needsOpen(InstanceRef ref) {
        Peer peer = peers.get(ref);
        return peer != null && !peer.hasCopy;
    }

    /**
     * Returns whether the output is complete and every peer has acknowledged all entries, the
     * committed offset and the current header.
     */
    public boolean isFullyReplicated() {
        return log.complete()
                && peers.values().stream()
                        .allMatch(
                                peer ->
                                        peer.ackedCommittedLength == log.committedLength()
                                                && peer.ackedHeaderVersion == headerVersion);
    }

    /**
     * Adds to the number of tokens that engines had to compute again.
     *
     * @param tokens number of tokens in the prefix of a new attempt
     */
    public void addRecomputed(long tokens) {
        attempts.addRecomputed(tokens);
        headerVersion++;
    }

    /**
     * Adds an instance as a learner. No-op if it is a peer already.
     *
     * @param ref live incarnation
     */
    public void addLearner(InstanceRef ref) {
        peers.putIfAbsent(ref, new Peer(ref, true, 0));
    }

    /**
     * Removes learners that are no longer live. Members are only removed by {@link
     * #updateReplicas}.
     *
     * @param live returns whether an incarnation is live
     */
    public void removeLearners(Predicate<InstanceRef> live) {
        peers.values().removeIf(peer -> peer.learner && !live.test(peer.ref));
    }

    /**
     * Replaces the member list after membership events.
     *
     * @param next member list with this instance as owner in the same epoch
     * @return whether the committed offset increased
     */
    public boolean updateReplicas(ReplicaSet next) {
        replicas = next;
        peers.values().removeIf(peer -> !peer.learner && !next.members().contains(peer.ref));
        return promoteAndCommit();
    }

    /**
     * Starts the next attempt. Unless it is speculative, tokens of earlier attempts are refused
     * from now on.
     *
     * @param endpoint endpoint identifier of the engine
     * @param address {@code host:port} of the engine
     * @param speculative whether earlier attempts stay admitted until an attempt delivers a token
     * @return the new attempt
     */
    public AttemptRecord beginAttempt(String endpoint, String address, boolean speculative) {
        AttemptRecord attempt = attempts.begin(endpoint, address, speculative);
        headerVersion++;
        return attempt;
    }

    /**
     * Removes a failed attempt, unless it is the only admitted one.
     *
     * @param attempt number of the attempt
     * @return whether another attempt is admitted, so that no new one is needed
     */
    public boolean removeAttempt(int attempt) {
        boolean otherAdmitted = attempts.remove(attempt);
        headerVersion++;
        return otherAdmitted;
    }

    /**
     * Returns whether tokens of an attempt are accepted.
     *
     * @param attempt number of the attempt
     * @return whether the attempt is admitted and the output has not ended
     */
    public boolean isAdmitted(int attempt) {
        return attempts.isAdmitted(attempt) && !log.ended();
    }

    /**
     * Offers a token that an attempt delivered.
     *
     * @param attempt number of the attempt
     * @param offset offset of the token
     * @param token text of the token
     * @return result
     */
    public OfferResult offer(int attempt, long offset, String token) {
        if (!isAdmitted(attempt)) {
            return OfferResult.REFUSED;
        }
        if (offset < log.tokenCount()) {
            return OfferResult.DUPLICATE;
        }
        if (offset > log.tokenCount()) {
            return OfferResult.GAP;
        }
        log.append(offset, token);
        boolean othersRemoved = retainOnly(attempt);
        if (log.tokenCount() == spec.maxTokens()) {
            log.end("length");
        }
        promoteAndCommit();
        return othersRemoved ? OfferResult.APPENDED_AND_SETTLED : OfferResult.APPENDED;
    }

    /**
     * Offers the end of an attempt's output.
     *
     * @param attempt number of the attempt
     * @param offset total number of tokens in the attempt's output
     * @param reason why the output ended, not empty
     * @return result
     */
    public OfferResult offerEnd(int attempt, long offset, String reason) {
        if (!isAdmitted(attempt)) {
            return OfferResult.REFUSED;
        }
        if (offset != log.tokenCount()) {
            return offset < log.tokenCount() ? OfferResult.DUPLICATE : OfferResult.GAP;
        }
        boolean othersRemoved = retainOnly(attempt);
        log.end(reason);
        promoteAndCommit();
        return othersRemoved ? OfferResult.APPENDED_AND_SETTLED : OfferResult.APPENDED;
    }

    /**
     * Ends the output independently of any attempt, for instance after a cancellation.
     *
     * @param reason why the output ended, not empty
     * @return whether the output ended by this call; {@code false} if it had ended before
     */
    public boolean end(String reason) {
        boolean ended = log.end(reason);
        promoteAndCommit();
        return ended;
    }

    private boolean retainOnly(int attempt) {
        boolean othersRemoved = attempts.retainOnly(attempt);
        headerVersion += othersRemoved ? 1 : 0;
        return othersRemoved;
    }

    /**
     * Returns the next append for a peer, with the changes since the last call up to the size
     * limit, and marks them as sent.
     *
     * @param ref incarnation of the peer
     * @param sendCommittedOffset whether to create an append even if only the committed offset has
     *     changed; after the output is complete this is always done
     * @return the append, or empty if there is nothing to send
     */
    public Optional<GenerationAppend> nextAppend(InstanceRef ref, boolean sendCommittedOffset) {
        Peer peer = peers.get(ref);
        if (peer == null) {
            return Optional.empty();
        }
        boolean checkCommittedOffset = sendCommittedOffset || log.complete();
        boolean needed =
                peer.nextOffset < log.length()
                        || peer.sentHeaderVersion < headerVersion
                        || (checkCommittedOffset
                                && peer.sentCommittedLength < log.committedLength());
        if (!needed) {
            return Optional.empty();
        }
        // The first append of an epoch truncates the copy at its offset, so it must not be split.
        int maxBytes = peer.storedInEpoch ? MAX_APPEND_BYTES : Integer.MAX_VALUE;
        long from = peer.nextOffset;
        List<String> tokens =
                from < log.tokenCount()
                        ? log.read(from, log.tokenCount(), maxBytes)
                        : new ArrayList<>();
        long to = from + tokens.size();
        boolean includesEnd = log.ended() && to == log.tokenCount();
        GenerationHeader header =
                peer.ackedHeaderVersion < headerVersion
                        ? new GenerationHeader(headerVersion, replicas, attempts.current())
                        : null;
        peer.nextOffset = includesEnd ? log.length() : Math.max(to, from);
        peer.sentHeaderVersion = headerVersion;
        peer.sentCommittedLength = log.committedLength();
        return Optional.of(
                new GenerationAppend(
                        spec.id(),
                        epoch,
                        header,
                        from,
                        tokens,
                        includesEnd ? log.finishReason() : "",
                        log.committedLength()));
    }

    /**
     * Records that an append got no reply. A later {@link #nextAppend} resends its content.
     *
     * @param ref incarnation of the peer
     */
    public void onNoReply(InstanceRef ref) {
        Peer peer = peers.get(ref);
        if (peer != null) {
            peer.nextOffset = peer.storedInEpoch ? peer.ackedLength : peer.epochStartOffset;
            peer.sentHeaderVersion = peer.ackedHeaderVersion;
            peer.sentCommittedLength = -1;
        }
    }

    /**
     * Handles the reply of a peer to an append.
     *
     * @param ref incarnation of the peer
     * @param reply reply
     * @return effect of the reply
     */
    public ReplyEffect onReply(InstanceRef ref, GenerationAppendReply reply) {
        if (reply.status() == GenerationAppendReply.Status.STALE_EPOCH && reply.epoch() > epoch) {
            return ReplyEffect.STEP_DOWN;
        }
        Peer peer = peers.get(ref);
        if (peer == null || reply.epoch() != epoch) {
            return ReplyEffect.NONE;
        }
        switch (reply.status()) {
            case UNKNOWN -> {
                peer.hasCopy = false;
                peer.storedInEpoch = false;
                peer.ackedLength = 0;
                peer.epochStartOffset = 0;
                peer.nextOffset = 0;
                peer.ackedHeaderVersion = 0;
                peer.sentHeaderVersion = 0;
                peer.ackedCommittedLength = -1;
                return ReplyEffect.NONE;
            }
            case GAP -> {
                peer.hasCopy = true;
                // A delayed reply must not move the offset back below the acknowledged length.
                peer.nextOffset = Math.max(peer.ackedLength, reply.length());
                peer.epochStartOffset = peer.nextOffset;
                peer.sentHeaderVersion = peer.ackedHeaderVersion;
                return ReplyEffect.NONE;
            }
            case STORED -> {
                peer.hasCopy = true;
                peer.storedInEpoch = true;
                peer.ackedLength =
                        Math.max(peer.ackedLength, Math.min(reply.length(), log.length()));
                peer.nextOffset = Math.max(peer.nextOffset, peer.ackedLength);
                peer.ackedHeaderVersion = Math.max(peer.ackedHeaderVersion, reply.headerVersion());
                peer.ackedCommittedLength = peer.sentCommittedLength;
                if (reply.headerVersion() < headerVersion) {
                    peer.sentHeaderVersion = peer.ackedHeaderVersion;
                }
                return promoteAndCommit() ? ReplyEffect.COMMITTED : ReplyEffect.NONE;
            }
            default -> {
                return ReplyEffect.NONE;
            }
        }
    }

    private boolean promoteAndCommit() {
        for (Peer peer : peers.values()) {
            if (peer.learner && peer.storedInEpoch && peer.ackedLength >= log.committedLength()) {
                peer.learner = false;
                replicas = replicas.withMember(peer.ref);
                memberListVersion = ++headerVersion;
            }
        }
        while (replicas.active() < replicas.members().size() && canActivateNextMember()) {
            Peer next = peers.get(replicas.members().get(replicas.active()));
            replicas = replicas.withNextActive();
            memberListVersion = ++headerVersion;
            next.activationVersion = headerVersion;
        }
        long minAckedLength = log.length();
        for (Peer peer : peers.values()) {
            if (!peer.learner) {
                minAckedLength = Math.min(minAckedLength, peer.ackedLength);
            }
        }
        return log.commit(minAckedLength);
    }

    private boolean canActivateNextMember() {
        List<InstanceRef> activeReplicas =
                replicas.members().subList(1, Math.max(1, replicas.active()));
        for (InstanceRef ref : activeReplicas) {
            if (peers.get(ref).ackedHeaderVersion < memberListVersion) {
                return false;
            }
        }
        return peers.get(replicas.members().get(replicas.active())).storedInEpoch;
    }
}
