package io.sapphirestack.core.generation;

import io.sapphirestack.core.id.InstanceRef;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * State machine of the owner of one generation: takes tokens of the admitted attempts and replies
 * of replicas, and gives the appends that each replica needs. Not thread-safe.
 *
 * <p>An entry is committed when every live member has acknowledged it. A replica is first a
 * learner. When it holds everything that is committed it becomes a member, so that commits wait for
 * it; when all members before it know the longer list it becomes active and may take over.
 */
public final class GenerationOwner {

    /** Largest token payload of one append in bytes; keeps one frame from delaying the others. */
    private static final int MAX_APPEND_BYTES = 256 * 1_024;

    /** What became of a token that an attempt delivered. */
    public enum Offer {
        /** Stored as the next entry. */
        APPENDED,
        /** Stored, and a racing attempt lost and should be cancelled. */
        APPENDED_AND_SETTLED,
        /** The offset is already taken; nothing changed. */
        DUPLICATE,
        /** The attempt is no longer admitted, or the output has ended; nothing changed. */
        REFUSED,
        /** Tokens before this one are missing; nothing changed. */
        GAP
    }

    /** What a reply changed. */
    public enum Effect {
        /** Nothing that concerns callers. */
        NONE,
        /** The committed offset rose. */
        COMMITTED,
        /** A later owner exists; this holder must stop acting as owner. */
        STEP_DOWN
    }

    private static final class Peer {
        private final InstanceRef ref;
        private boolean learner;
        private boolean opened;
        private boolean contacted;
        private long firstFrom;
        private long next;
        private long acked;
        private long sentHeader;
        private long ackedHeader;
        private long sentCommitted = -1;
        private long ackedCommitted = -1;
        private long activatedBy;

        private Peer(InstanceRef ref, boolean learner, long next) {
            this.ref = ref;
            this.learner = learner;
            this.opened = !learner;
            this.firstFrom = next;
            this.next = next;
        }
    }

    private final GenerationSpec spec;
    private final GenerationLog log;
    private final AttemptBook attempts;
    private final Map<InstanceRef, Peer> peers = new LinkedHashMap<>();
    private final long epoch;
    private ReplicaSet replicas;
    private long headerVersion = 1;
    private long replicasVersion = 1;

    GenerationOwner(
            GenerationSpec spec, GenerationLog log, ReplicaSet replicas, AttemptBook attempts) {
        this.spec = spec;
        this.log = log;
        // An earlier owner may have failed before it learned that this member became active.
        this.replicas = replicas.active() == 0 ? replicas.withNextActive() : replicas;
        this.epoch = replicas.epoch();
        this.attempts = attempts;
        log.beginEpoch(epoch);
        for (InstanceRef member : replicas.members().subList(1, replicas.members().size())) {
            Peer peer = new Peer(member, false, log.committed());
            peer.activatedBy = replicasVersion;
            peers.put(member, peer);
        }
        advance();
    }

    /** Returns the epoch of this ownership. */
    public long epoch() {
        return epoch;
    }

    /** Returns the members as this owner sees them. */
    public ReplicaSet replicas() {
        return replicas;
    }

    /** Returns the current attempt. */
    public AttemptRecord attempt() {
        return attempts.current();
    }

    /** Returns the instances that get appends: members and learners. */
    public List<InstanceRef> peers() {
        return List.copyOf(peers.keySet());
    }

    /**
     * Tells whether a peer is a member that knows that it may take over.
     *
     * @param ref peer
     * @return whether it acknowledged that it is active
     */
    public boolean isConfirmed(InstanceRef ref) {
        Peer peer = peers.get(ref);
        return peer != null && replicas.isActive(ref) && peer.ackedHeader >= peer.activatedBy;
    }

    /**
     * Tells whether a peer must get the request before appends.
     *
     * @param ref peer
     * @return whether it has no copy yet
     */
    public boolean needsOpen(InstanceRef ref) {
        Peer peer = peers.get(ref);
        return peer != null && !peer.opened;
    }

    /** Returns whether the output is complete and every peer has acknowledged that it is. */
    public boolean settled() {
        return log.complete()
                && peers.values().stream()
                        .allMatch(
                                peer ->
                                        peer.ackedCommitted == log.committed()
                                                && peer.ackedHeader == headerVersion);
    }

    /**
     * Counts tokens that an engine was given to compute again.
     *
     * @param tokens number of tokens in the prefix of a new attempt
     */
    public void addRecomputed(long tokens) {
        attempts.addRecomputed(tokens);
        headerVersion++;
    }

    /**
     * Adds an instance that shall hold a copy.
     *
     * @param ref live instance that has none
     */
    public void addLearner(InstanceRef ref) {
        peers.putIfAbsent(ref, new Peer(ref, true, 0));
    }

    /**
     * Forgets learners that are gone; members leave only through {@link #onReplicas}.
     *
     * @param live tells whether an incarnation is live
     */
    public void removeLearners(Predicate<InstanceRef> live) {
        peers.values().removeIf(peer -> peer.learner && !live.test(peer.ref));
    }

    /**
     * Takes the members after membership events.
     *
     * @param next members with this instance as owner in the same epoch
     * @return whether the committed offset rose
     */
    public boolean onReplicas(ReplicaSet next) {
        replicas = next;
        peers.values().removeIf(peer -> !peer.learner && !next.members().contains(peer.ref));
        return advance();
    }

    /**
     * Starts the next attempt; tokens of earlier ones are refused from now on unless it is
     * speculative.
     *
     * @param endpoint name of the engine
     * @param address {@code host:port} of the engine
     * @param speculative whether earlier attempts stay admitted until one of them delivers
     * @return the new attempt
     */
    public AttemptRecord beginAttempt(String endpoint, String address, boolean speculative) {
        AttemptRecord begun = attempts.begin(endpoint, address, speculative);
        headerVersion++;
        return begun;
    }

    /**
     * Gives up an attempt that failed.
     *
     * @param attempt number of the attempt
     * @return whether another attempt is still running
     */
    public boolean dropAttempt(int attempt) {
        boolean other = attempts.drop(attempt);
        headerVersion++;
        return other;
    }

    /**
     * Tells whether tokens of an attempt are accepted.
     *
     * @param attempt number of the attempt
     * @return whether it is admitted and the output has not ended
     */
    public boolean admits(int attempt) {
        return attempts.admits(attempt) && !log.ended();
    }

    /**
     * Takes a token.
     *
     * @param attempt attempt that delivered it
     * @param offset offset of the token
     * @param token text
     * @return what became of it
     */
    public Offer offer(int attempt, long offset, String token) {
        if (!admits(attempt)) {
            return Offer.REFUSED;
        }
        if (offset < log.tokenCount()) {
            return Offer.DUPLICATE;
        }
        if (offset > log.tokenCount()) {
            return Offer.GAP;
        }
        log.append(offset, token);
        boolean settled = settle(attempt);
        if (log.tokenCount() == spec.maxTokens()) {
            log.end("length");
        }
        advance();
        return settled ? Offer.APPENDED_AND_SETTLED : Offer.APPENDED;
    }

    /**
     * Takes the end of an attempt's output.
     *
     * @param attempt attempt that ended
     * @param offset number of tokens that the attempt's output has in all
     * @param reason why it ended
     * @return what became of it
     */
    public Offer offerEnd(int attempt, long offset, String reason) {
        if (!admits(attempt)) {
            return Offer.REFUSED;
        }
        if (offset != log.tokenCount()) {
            return offset < log.tokenCount() ? Offer.DUPLICATE : Offer.GAP;
        }
        boolean settled = settle(attempt);
        log.end(reason);
        advance();
        return settled ? Offer.APPENDED_AND_SETTLED : Offer.APPENDED;
    }

    /**
     * Ends the output without an engine.
     *
     * @param reason why it ended
     * @return whether it had not ended before
     */
    public boolean end(String reason) {
        boolean ended = log.end(reason);
        advance();
        return ended;
    }

    private boolean settle(int attempt) {
        boolean settled = attempts.settle(attempt);
        headerVersion += settled ? 1 : 0;
        return settled;
    }

    /**
     * Returns what a peer needs next; everything since the last call goes into one append.
     *
     * @param ref peer
     * @param withCommitted whether a risen committed offset alone is worth an append
     * @return the append, or empty if the peer needs nothing
     */
    public Optional<Append> nextAppend(InstanceRef ref, boolean withCommitted) {
        Peer peer = peers.get(ref);
        if (peer == null) {
            return Optional.empty();
        }
        boolean tellCommitted = withCommitted || log.complete();
        boolean wanted =
                peer.next < log.length()
                        || peer.sentHeader < headerVersion
                        || (tellCommitted && peer.sentCommitted < log.committed());
        if (!wanted) {
            return Optional.empty();
        }
        // The first append of an epoch replaces the rest of the copy, so it must not be divided.
        int maxBytes = peer.contacted ? MAX_APPEND_BYTES : Integer.MAX_VALUE;
        long from = peer.next;
        List<String> tokens =
                from < log.tokenCount()
                        ? log.read(from, log.tokenCount(), maxBytes)
                        : new ArrayList<>();
        long to = from + tokens.size();
        boolean withEnd = log.ended() && to == log.tokenCount();
        CopyHeader header =
                peer.ackedHeader < headerVersion
                        ? new CopyHeader(headerVersion, replicas, attempts.current())
                        : null;
        peer.next = withEnd ? log.length() : Math.max(to, from);
        peer.sentHeader = headerVersion;
        peer.sentCommitted = log.committed();
        return Optional.of(
                new Append(
                        spec.id(),
                        epoch,
                        header,
                        from,
                        tokens,
                        withEnd ? log.finishReason() : "",
                        log.committed()));
    }

    /**
     * Notes that an append got no reply; it is sent again by a later {@link #nextAppend}.
     *
     * @param ref peer
     */
    public void onNoReply(InstanceRef ref) {
        Peer peer = peers.get(ref);
        if (peer != null) {
            peer.next = peer.contacted ? peer.acked : peer.firstFrom;
            peer.sentHeader = peer.ackedHeader;
            peer.sentCommitted = -1;
        }
    }

    /**
     * Takes the reply of a peer.
     *
     * @param ref peer
     * @param reply its reply
     * @return what changed
     */
    public Effect onReply(InstanceRef ref, AppendReply reply) {
        if (reply.status() == AppendReply.Status.STALE_EPOCH && reply.epoch() > epoch) {
            return Effect.STEP_DOWN;
        }
        Peer peer = peers.get(ref);
        if (peer == null || reply.epoch() != epoch) {
            return Effect.NONE;
        }
        switch (reply.status()) {
            case UNKNOWN -> {
                peer.opened = false;
                peer.contacted = false;
                peer.acked = 0;
                peer.firstFrom = 0;
                peer.next = 0;
                peer.ackedHeader = 0;
                peer.sentHeader = 0;
                peer.ackedCommitted = -1;
                return Effect.NONE;
            }
            case GAP -> {
                peer.opened = true;
                // A late reply must not move the position behind what is acknowledged.
                peer.next = Math.max(peer.acked, reply.length());
                peer.firstFrom = peer.next;
                peer.sentHeader = peer.ackedHeader;
                return Effect.NONE;
            }
            case STORED -> {
                peer.opened = true;
                peer.contacted = true;
                peer.acked = Math.max(peer.acked, Math.min(reply.length(), log.length()));
                peer.next = Math.max(peer.next, peer.acked);
                peer.ackedHeader = Math.max(peer.ackedHeader, reply.headerVersion());
                peer.ackedCommitted = peer.sentCommitted;
                if (reply.headerVersion() < headerVersion) {
                    peer.sentHeader = peer.ackedHeader;
                }
                return advance() ? Effect.COMMITTED : Effect.NONE;
            }
            default -> {
                return Effect.NONE;
            }
        }
    }

    private boolean advance() {
        for (Peer peer : peers.values()) {
            if (peer.learner && peer.contacted && peer.acked >= log.committed()) {
                peer.learner = false;
                replicas = replicas.withMember(peer.ref);
                replicasVersion = ++headerVersion;
            }
        }
        while (replicas.active() < replicas.members().size() && nextMayBecomeActive()) {
            Peer next = peers.get(replicas.members().get(replicas.active()));
            replicas = replicas.withNextActive();
            replicasVersion = ++headerVersion;
            next.activatedBy = headerVersion;
        }
        long acked = log.length();
        for (Peer peer : peers.values()) {
            if (!peer.learner) {
                acked = Math.min(acked, peer.acked);
            }
        }
        return log.commit(acked);
    }

    private boolean nextMayBecomeActive() {
        List<InstanceRef> before = replicas.members().subList(1, Math.max(1, replicas.active()));
        for (InstanceRef ref : before) {
            if (peers.get(ref).ackedHeader < replicasVersion) {
                return false;
            }
        }
        return peers.get(replicas.members().get(replicas.active())).contacted;
    }
}
