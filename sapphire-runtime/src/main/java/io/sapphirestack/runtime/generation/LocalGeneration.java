package io.sapphirestack.runtime.generation;

import io.sapphirestack.core.control.MembershipEvent;
import io.sapphirestack.core.generation.AttemptRecord;
import io.sapphirestack.core.generation.GenerationAdmission;
import io.sapphirestack.core.generation.GenerationAppend;
import io.sapphirestack.core.generation.GenerationAppendReply;
import io.sapphirestack.core.generation.GenerationCopy;
import io.sapphirestack.core.generation.GenerationLog;
import io.sapphirestack.core.generation.GenerationOwner;
import io.sapphirestack.core.generation.GenerationSpec;
import io.sapphirestack.core.id.GenerationId;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.runtime.generation.GenerationMessages.FetchReply;
import io.sapphirestack.runtime.generation.GenerationMessages.HolderState;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Local copy of one generation, with its waiting readers and the streams of its running attempts.
 * Thread-safe; the object is its own lock, and futures are completed outside the lock.
 */
final class LocalGeneration {

    /** Finish reason of a cancelled generation. */
    static final String CANCELLED = "cancelled";

    /** Finish reason of a generation that was ended because it crashes engines. */
    static final String FAILED = "failed";

    /** Maximum size of the tokens in one batch to a reader, in bytes. */
    private static final int MAX_BATCH_BYTES = 256 * 1_024;

    private record WaitingReader(long fromOffset, CompletableFuture<FetchReply> reply) {}

    private final GenerationSpec spec;
    private final GenerationCopy copy;
    private final Map<Integer, EngineStream> streams = new HashMap<>();
    private final Set<InstanceRef> queuedPeers = new HashSet<>();
    private final Set<InstanceRef> peersNeedingCommittedOffset = new HashSet<>();
    private final Set<InstanceRef> peersBeingOpened = new HashSet<>();
    private List<WaitingReader> waitingReaders = new ArrayList<>();
    private Optional<GenerationAdmission.Permit> permit = Optional.empty();
    private int runnerCount;
    private long runnerEpoch = -1;
    private long reportedCommittedTokens;
    private boolean refused;
    private boolean stopped;
    private long interruptedSinceMs = -1;
    private volatile long lastAppendMs;
    private volatile long finishedAtMs = -1;

    LocalGeneration(GenerationCopy copy, long nowMs) {
        this.spec = copy.spec();
        this.copy = copy;
        this.lastAppendMs = nowMs;
    }

    GenerationId id() {
        return spec.id();
    }

    GenerationSpec spec() {
        return spec;
    }

    long lastAppendMs() {
        return lastAppendMs;
    }

    long finishedAtMs() {
        return finishedAtMs;
    }

    /**
     * Records the completion time if the output is complete.
     *
     * @return whether this call recorded it
     */
    synchronized boolean markFinished(long nowMs) {
        if (finishedAtMs >= 0 || !copy.log().complete()) {
            return false;
        }
        finishedAtMs = nowMs;
        copy.log().trim();
        return true;
    }

    /**
     * Applies a function to the owner state under the lock; empty if this instance is not the
     * owner.
     */
    synchronized <T> Optional<T> withOwner(Function<GenerationOwner, T> function) {
        return copy.owner().map(function);
    }

    /** Applies a function to the copy under the lock. */
    synchronized <T> T withCopy(Function<GenerationCopy, T> function) {
        return function.apply(copy);
    }

    /** Returns whether this instance owns the generation in this epoch and may run attempts. */
    synchronized boolean isOwner(long epoch) {
        return !refused
                && !stopped
                && copy.owner().filter(owner -> owner.epoch() == epoch).isPresent();
    }

    synchronized boolean needsAttempt(long epoch) {
        return isOwner(epoch) && !copy.log().ended();
    }

    /**
     * Ends the attempts because the service stops, so that no new attempt starts when the streams
     * are closed.
     */
    synchronized void stopAttempts() {
        stopped = true;
        notifyAll();
    }

    /**
     * Marks the generation as refused unless a replica may already take over.
     *
     * @return whether it is refused
     */
    synchronized boolean tryRefuse() {
        if (copy.replicas().active() > 1) {
            return false;
        }
        refused = true;
        notifyAll();
        return true;
    }

    synchronized GenerationAppendReply onAppend(
            GenerationAppend append,
            List<MembershipEvent> events,
            Set<InstanceRef> self,
            long nowMs) {
        lastAppendMs = nowMs;
        return copy.onAppend(append, events, self);
    }

    /** Builds the next append for a peer and removes the peer from the queued ones. */
    synchronized Optional<GenerationAppend> takeAppend(InstanceRef peer) {
        queuedPeers.remove(peer);
        boolean sendCommittedOffset = peersNeedingCommittedOffset.remove(peer);
        if (refused) {
            return Optional.empty();
        }
        return copy.owner().flatMap(owner -> owner.nextAppend(peer, sendCommittedOffset));
    }

    /**
     * Adds a peer to the queued ones.
     *
     * @param peer peer that may need an append
     * @param sendCommittedOffset whether to send an append even if only the committed offset has
     *     changed
     * @return whether the peer was not queued before
     */
    synchronized boolean markQueued(InstanceRef peer, boolean sendCommittedOffset) {
        if (sendCommittedOffset) {
            peersNeedingCommittedOffset.add(peer);
        }
        return queuedPeers.add(peer);
    }

    synchronized void clearQueued(InstanceRef peer) {
        queuedPeers.remove(peer);
    }

    synchronized boolean needsOpen(InstanceRef peer) {
        return copy.owner().filter(owner -> owner.needsOpen(peer)).isPresent();
    }

    synchronized boolean tryBeginOpen(InstanceRef peer) {
        return peersBeingOpened.add(peer);
    }

    synchronized void endOpen(InstanceRef peer) {
        peersBeingOpened.remove(peer);
    }

    /** Handles the reply of a peer to an append. */
    synchronized GenerationOwner.ReplyEffect onReply(
            InstanceRef peer, GenerationAppendReply reply) {
        if (refused) {
            return GenerationOwner.ReplyEffect.NONE;
        }
        return copy.owner()
                .map(owner -> owner.onReply(peer, reply))
                .orElse(GenerationOwner.ReplyEffect.NONE);
    }

    synchronized Optional<GenerationOwner.OfferResult> offer(
            long epoch, int attempt, long offset, String token) {
        return copy.owner()
                .filter(owner -> owner.epoch() == epoch)
                .map(owner -> owner.offer(attempt, offset, token));
    }

    synchronized Optional<GenerationOwner.OfferResult> offerEnd(
            long epoch, int attempt, long offset, String reason) {
        return copy.owner()
                .filter(owner -> owner.epoch() == epoch)
                .map(owner -> owner.offerEnd(attempt, offset, reason));
    }

    /** Begins the next attempt, which is speculative if another runner is active. */
    synchronized Optional<AttemptRecord> beginAttempt(long epoch, String endpoint, String address) {
        if (!needsAttempt(epoch)) {
            return Optional.empty();
        }
        return copy.owner().map(owner -> owner.beginAttempt(endpoint, address, runnerCount > 1));
    }

    synchronized boolean isAdmitted(long epoch, int attempt) {
        return isOwner(epoch)
                && copy.owner().filter(owner -> owner.isAdmitted(attempt)).isPresent();
    }

    /** Counts a runner. Runners of an earlier epoch that have not ended yet do not count. */
    synchronized void runnerStarted(long epoch) {
        runnerCount = epoch == runnerEpoch ? runnerCount + 1 : 1;
        runnerEpoch = epoch;
    }

    synchronized void runnerEnded(long epoch) {
        runnerCount -= epoch == runnerEpoch ? 1 : 0;
    }

    /** Returns the number of tokens committed since the last call; 0 if this is not the owner. */
    synchronized long takeNewlyCommittedCount() {
        long committed = copy.log().committedTokenCount();
        long newlyCommitted = copy.owner().isPresent() ? committed - reportedCommittedTokens : 0;
        reportedCommittedTokens = committed;
        return newlyCommitted;
    }

    /**
     * Removes a failed attempt.
     *
     * @return whether its runner can end, because another one is active or this instance is no
     *     longer the owner
     */
    synchronized boolean removeFailedAttempt(long epoch, int attempt) {
        if (!isOwner(epoch)) {
            return true;
        }
        copy.owner().ifPresent(owner -> owner.removeAttempt(attempt));
        return runnerCount > 1;
    }

    /**
     * Registers the stream of an attempt so that it can be aborted.
     *
     * @return whether the attempt is admitted; otherwise the stream was not registered
     */
    synchronized boolean registerStream(long epoch, int attempt, EngineStream stream) {
        if (!isAdmitted(epoch, attempt)) {
            return false;
        }
        streams.put(attempt, stream);
        return true;
    }

    synchronized void unregisterStream(int attempt, EngineStream stream) {
        streams.remove(attempt, stream);
    }

    /** Unregisters all streams and returns them, so that they can be closed. */
    synchronized List<EngineStream> takeStreams() {
        List<EngineStream> open = List.copyOf(streams.values());
        streams.clear();
        notifyAll();
        return open;
    }

    /** Records since when the output is interrupted, unless it already is. */
    synchronized void markInterrupted(long sinceMs) {
        if (interruptedSinceMs < 0) {
            interruptedSinceMs = sinceMs;
        }
    }

    /**
     * Records that the output continues.
     *
     * @return duration of the interruption in milliseconds, or -1 if there was none
     */
    synchronized long clearInterruption(long nowMs) {
        long sinceMs = interruptedSinceMs;
        interruptedSinceMs = -1;
        return sinceMs < 0 ? -1 : nowMs - sinceMs;
    }

    /** Keeps the admission permit of the generation and releases an earlier one. */
    synchronized void holdPermit(GenerationAdmission.Permit next) {
        releasePermit();
        permit = Optional.of(next);
    }

    synchronized void releasePermit() {
        permit.ifPresent(GenerationAdmission.Permit::close);
        permit = Optional.empty();
    }

    /** Waits until a change is signalled or the time has passed. */
    synchronized void awaitChange(long waitMs) throws InterruptedException {
        wait(waitMs);
    }

    /** Waits until a condition on the copy holds; returns {@code false} after a timeout. */
    synchronized boolean awaitCondition(Predicate<GenerationCopy> condition, long waitMs)
            throws InterruptedException {
        long untilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMs);
        while (!condition.test(copy)) {
            long remainingMs = TimeUnit.NANOSECONDS.toMillis(untilNs - System.nanoTime());
            if (remainingMs <= 0) {
                return false;
            }
            wait(remainingMs);
        }
        return true;
    }

    /** Wakes the threads that wait for a change. */
    synchronized void signalChange() {
        notifyAll();
    }

    /**
     * Returns the role of this instance for the generation.
     *
     * @param self incarnations of this process
     */
    synchronized HolderState holderState(Set<InstanceRef> self) {
        if (copy.log().complete()) {
            return HolderState.COMPLETE;
        }
        if (refused) {
            return HolderState.UNKNOWN;
        }
        if (copy.owner().isPresent()) {
            return HolderState.OWNER;
        }
        return copy.mustBeKept(self) ? HolderState.REPLICA : HolderState.FORMER;
    }

    synchronized GenerationStatus status() {
        GenerationLog log = copy.log();
        AttemptRecord attempt = copy.attempt();
        return new GenerationStatus(
                spec.id(),
                phase(log),
                spec.pin(),
                log.committedTokenCount(),
                attempt.attempts(),
                attempt.recomputedTokens(),
                log.complete() ? log.finishReason() : "");
    }

    synchronized long sizeBytes() {
        return copy.log().sizeBytes() + 2L * spec.prompt().length();
    }

    /**
     * Reads committed tokens, waiting until there is at least one.
     *
     * @param fromOffset offset of the first token to return
     * @param waitMs longest time to wait in milliseconds; 0 returns at once
     * @return reply with a batch that is empty after a timeout; never fails
     */
    CompletableFuture<FetchReply> fetch(long fromOffset, long waitMs) {
        CompletableFuture<FetchReply> reply = new CompletableFuture<>();
        FetchReply timedOut;
        synchronized (this) {
            Optional<FetchReply> available = tryRead(fromOffset);
            if (available.isPresent() || waitMs <= 0) {
                return CompletableFuture.completedFuture(
                        available.orElseGet(() -> emptyBatch(fromOffset)));
            }
            waitingReaders.removeIf(reader -> reader.reply().isDone());
            waitingReaders.add(new WaitingReader(fromOffset, reply));
            timedOut = emptyBatch(fromOffset);
        }
        return reply.completeOnTimeout(timedOut, waitMs, TimeUnit.MILLISECONDS);
    }

    /** Completes the futures of the readers for which there are tokens or the output has ended. */
    void notifyReaders() {
        List<Runnable> completions = new ArrayList<>();
        synchronized (this) {
            if (waitingReaders.isEmpty()) {
                return;
            }
            List<WaitingReader> remaining = new ArrayList<>();
            for (WaitingReader reader : waitingReaders) {
                Optional<FetchReply> reply = tryRead(reader.fromOffset());
                if (reply.isPresent()) {
                    completions.add(() -> reader.reply().complete(reply.get()));
                } else {
                    remaining.add(reader);
                }
            }
            waitingReaders = remaining;
        }
        completions.forEach(Runnable::run);
    }

    private Optional<FetchReply> tryRead(long fromOffset) {
        GenerationLog log = copy.log();
        // A replica may not know yet that tokens which the caller has read elsewhere are committed,
        // so only offsets beyond all stored tokens are out of range.
        if (fromOffset < 0 || fromOffset > log.tokenCount()) {
            return Optional.of(new FetchReply(HolderState.REPLICA, true, null));
        }
        if (fromOffset >= log.committedTokenCount() && !log.complete()) {
            return Optional.empty();
        }
        List<String> tokens = log.read(fromOffset, log.committedTokenCount(), MAX_BATCH_BYTES);
        boolean last = log.complete() && fromOffset + tokens.size() == log.tokenCount();
        return Optional.of(
                new FetchReply(
                        HolderState.REPLICA,
                        false,
                        new TokenBatch(
                                fromOffset,
                                tokens,
                                phase(log),
                                last,
                                log.complete() ? log.finishReason() : "")));
    }

    private static FetchReply emptyBatch(long fromOffset) {
        return new FetchReply(
                HolderState.REPLICA,
                false,
                new TokenBatch(fromOffset, List.of(), GenerationPhase.RUNNING, false, ""));
    }

    private static GenerationPhase phase(GenerationLog log) {
        if (!log.complete()) {
            return GenerationPhase.RUNNING;
        }
        return switch (log.finishReason()) {
            case CANCELLED -> GenerationPhase.CANCELLED;
            case FAILED -> GenerationPhase.FAILED;
            default -> GenerationPhase.DONE;
        };
    }
}
