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
 * Copy of one generation with its lock, its waiting readers and its running attempts. Thread-safe;
 * futures are completed outside the lock.
 */
final class HeldGeneration {

    /** Reason of the end marker of a cancelled generation. */
    static final String CANCELLED = "cancelled";

    /** Largest payload of one batch to a reader in bytes. */
    private static final int MAX_BATCH_BYTES = 256 * 1_024;

    private record Waiter(long fromOffset, CompletableFuture<FetchReply> reply) {}

    private final GenerationSpec spec;
    private final GenerationCopy copy;
    private final Map<Integer, EngineStream> streams = new HashMap<>();
    private final Set<InstanceRef> queuedFor = new HashSet<>();
    private final Set<InstanceRef> tellCommittedTo = new HashSet<>();
    private final Set<InstanceRef> opening = new HashSet<>();
    private List<Waiter> waiters = new ArrayList<>();
    private Optional<GenerationAdmission.Permit> permit = Optional.empty();
    private int runners;
    private long runnersEpoch = -1;
    private long countedCommitted;
    private boolean refused;
    private boolean halted;
    private long interruptedSinceMs = -1;
    private volatile long lastContactMs;
    private volatile long finishedAtMs = -1;

    HeldGeneration(GenerationCopy copy, long nowMs) {
        this.spec = copy.spec();
        this.copy = copy;
        this.lastContactMs = nowMs;
    }

    GenerationId id() {
        return spec.id();
    }

    GenerationSpec spec() {
        return spec;
    }

    long lastContactMs() {
        return lastContactMs;
    }

    long finishedAtMs() {
        return finishedAtMs;
    }

    /** Notes the end; returns whether this is the first call. */
    synchronized boolean markFinished(long nowMs) {
        if (finishedAtMs >= 0 || !copy.log().complete()) {
            return false;
        }
        finishedAtMs = nowMs;
        copy.log().trim();
        return true;
    }

    /** Runs a function on the owner role under the lock, if this holder has it. */
    synchronized <T> Optional<T> withOwner(Function<GenerationOwner, T> function) {
        return copy.owner().map(function);
    }

    /** Runs a function on the copy under the lock. */
    synchronized <T> T withCopy(Function<GenerationCopy, T> function) {
        return function.apply(copy);
    }

    synchronized boolean owns(long epoch) {
        return !refused
                && !halted
                && copy.owner().filter(owner -> owner.epoch() == epoch).isPresent();
    }

    synchronized boolean needsAttempt(long epoch) {
        return owns(epoch) && !copy.log().ended();
    }

    /** Ends the attempts of a service that stops; closed streams must not start new ones. */
    synchronized void halt() {
        halted = true;
        notifyAll();
    }

    /** Stops an acceptance that was not confirmed, unless a replica may already take over. */
    synchronized boolean refuse() {
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
        lastContactMs = nowMs;
        return copy.onAppend(append, events, self);
    }

    /** Builds the next append for a peer and clears its mark. */
    synchronized Optional<GenerationAppend> takeAppend(InstanceRef peer) {
        queuedFor.remove(peer);
        boolean tellCommitted = tellCommittedTo.remove(peer);
        if (refused) {
            return Optional.empty();
        }
        return copy.owner().flatMap(owner -> owner.nextAppend(peer, tellCommitted));
    }

    /** Marks that a peer needs an append; returns whether it was not marked before. */
    synchronized boolean markQueued(InstanceRef peer, boolean tellCommitted) {
        if (tellCommitted) {
            tellCommittedTo.add(peer);
        }
        return queuedFor.add(peer);
    }

    synchronized void clearMark(InstanceRef peer) {
        queuedFor.remove(peer);
    }

    synchronized boolean needsOpen(InstanceRef peer) {
        return copy.owner().filter(owner -> owner.needsOpen(peer)).isPresent();
    }

    synchronized boolean beginOpening(InstanceRef peer) {
        return opening.add(peer);
    }

    synchronized void endOpening(InstanceRef peer) {
        opening.remove(peer);
    }

    /** Takes a reply of a peer. */
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

    /** Starts the next attempt; a second runner makes it speculative. */
    synchronized Optional<AttemptRecord> beginAttempt(long epoch, String endpoint, String address) {
        if (!needsAttempt(epoch)) {
            return Optional.empty();
        }
        return copy.owner().map(owner -> owner.beginAttempt(endpoint, address, runners > 1));
    }

    synchronized boolean admits(long epoch, int attempt) {
        return owns(epoch) && copy.owner().filter(owner -> owner.isAdmitted(attempt)).isPresent();
    }

    /** Counts a runner; one of an earlier epoch that has not noticed yet does not count. */
    synchronized void runnerStarted(long epoch) {
        runners = epoch == runnersEpoch ? runners + 1 : 1;
        runnersEpoch = epoch;
    }

    synchronized void runnerEnded(long epoch) {
        runners -= epoch == runnersEpoch ? 1 : 0;
    }

    /** Returns the tokens that were committed at this owner since the last call. */
    synchronized long takeNewlyCommitted() {
        long committed = copy.log().committedTokenCount();
        long newly = copy.owner().isPresent() ? committed - countedCommitted : 0;
        countedCommitted = committed;
        return newly;
    }

    /** Gives up a failed attempt; returns whether another runner takes care of the generation. */
    synchronized boolean leaveToOther(long epoch, int attempt) {
        if (!owns(epoch)) {
            return true;
        }
        copy.owner().ifPresent(owner -> owner.removeAttempt(attempt));
        return runners > 1;
    }

    /** Keeps a stream so that it can be aborted; returns whether the attempt still counts. */
    synchronized boolean register(long epoch, int attempt, EngineStream stream) {
        if (!admits(epoch, attempt)) {
            return false;
        }
        streams.put(attempt, stream);
        return true;
    }

    synchronized void unregister(int attempt, EngineStream stream) {
        streams.remove(attempt, stream);
    }

    /** Takes the open streams so that the caller aborts them. */
    synchronized List<EngineStream> takeStreams() {
        List<EngineStream> open = List.copyOf(streams.values());
        streams.clear();
        notifyAll();
        return open;
    }

    /** Notes when the output was interrupted, unless it already is. */
    synchronized void interrupted(long sinceMs) {
        if (interruptedSinceMs < 0) {
            interruptedSinceMs = sinceMs;
        }
    }

    /** Returns how long the output was interrupted and clears it, or -1 if it was not. */
    synchronized long continued(long nowMs) {
        long since = interruptedSinceMs;
        interruptedSinceMs = -1;
        return since < 0 ? -1 : nowMs - since;
    }

    synchronized void hold(GenerationAdmission.Permit next) {
        releasePermit();
        permit = Optional.of(next);
    }

    synchronized void releasePermit() {
        permit.ifPresent(GenerationAdmission.Permit::close);
        permit = Optional.empty();
    }

    /** Waits until something about the ownership changes, at most for the given time. */
    synchronized void await(long waitMs) throws InterruptedException {
        wait(waitMs);
    }

    /** Waits until a condition on the copy holds; returns whether it does. */
    synchronized boolean await(Predicate<GenerationCopy> condition, long waitMs)
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

    synchronized void wake() {
        notifyAll();
    }

    synchronized HolderState state(Set<InstanceRef> self) {
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
     * Reads committed tokens, waiting for the first one.
     *
     * @param fromOffset offset of the first token
     * @param waitMs longest time to wait in milliseconds
     * @return batch, empty after the time
     */
    CompletableFuture<FetchReply> fetch(long fromOffset, long waitMs) {
        CompletableFuture<FetchReply> reply = new CompletableFuture<>();
        FetchReply timedOut;
        synchronized (this) {
            Optional<FetchReply> now = read(fromOffset);
            if (now.isPresent() || waitMs <= 0) {
                return CompletableFuture.completedFuture(
                        now.orElseGet(() -> emptyBatch(fromOffset)));
            }
            waiters.removeIf(waiter -> waiter.reply().isDone());
            waiters.add(new Waiter(fromOffset, reply));
            timedOut = emptyBatch(fromOffset);
        }
        return reply.completeOnTimeout(timedOut, waitMs, TimeUnit.MILLISECONDS);
    }

    /** Completes the readers that have something to read. */
    void notifyReaders() {
        List<Runnable> completions = new ArrayList<>();
        synchronized (this) {
            if (waiters.isEmpty()) {
                return;
            }
            List<Waiter> remaining = new ArrayList<>();
            for (Waiter waiter : waiters) {
                Optional<FetchReply> reply = read(waiter.fromOffset());
                if (reply.isPresent()) {
                    completions.add(() -> waiter.reply().complete(reply.get()));
                } else {
                    remaining.add(waiter);
                }
            }
            waiters = remaining;
        }
        completions.forEach(Runnable::run);
    }

    private Optional<FetchReply> read(long fromOffset) {
        GenerationLog log = copy.log();
        // A replica may not know yet that its last tokens are committed and were delivered, so only
        // offsets beyond all its tokens are out of range.
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
        return log.finishReason().equals(CANCELLED)
                ? GenerationPhase.CANCELLED
                : GenerationPhase.DONE;
    }
}
