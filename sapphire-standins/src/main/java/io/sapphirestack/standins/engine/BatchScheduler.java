package io.sapphirestack.standins.engine;

import io.sapphirestack.core.membership.EndpointLoad;
import io.sapphirestack.core.record.ModelPin;
import io.sapphirestack.core.routing.PrefixHashes;
import io.sapphirestack.core.time.MillisClock;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.Predicate;

/**
 * Schedules streams by continuous batching: every decode step computes one token of each stream
 * that has a slot and has finished its prefill. Free slots go to the queued streams in the order of
 * their priority, then of their arrival. Thread-safe.
 */
final class BatchScheduler {

    /** Tokens in a prompt block, at 4 bytes per token. */
    static final int TOKENS_PER_BLOCK = PrefixHashes.BLOCK_BYTES / 4;

    private static final long UNREAD_TIMEOUT_MS = 30_000;
    private static final long FINISHED_RETENTION_MS = 60_000;
    private static final long RATE_WINDOW_MS = 1_000;

    private final EngineOptions options;
    private final MillisClock clock;
    private final PrefixCache cache;
    private final EngineFaults faults;
    private final Predicate<ModelPin> isModelLoaded;
    private final Map<String, AttemptStream> streams = new HashMap<>();
    private final PriorityQueue<QueuedStream> queuedStreams =
            new PriorityQueue<>(
                    Comparator.comparingInt(
                                    (QueuedStream queued) -> -queued.stream().request().priority())
                            .thenComparingLong(QueuedStream::arrivalNumber));
    private final List<ActiveStream> activeStreams = new ArrayList<>();
    private final Deque<LoadSample> loadSamples = new ArrayDeque<>();
    private long arrivalCount;
    private long computedTokens;

    /**
     * Creates an idle scheduler.
     *
     * @param options slots, queue limit, timing and output of the engine
     * @param clock monotonic clock
     * @param cache prefix cache
     * @param faults injected faults
     * @param isModelLoaded returns whether a variant is loaded
     */
    BatchScheduler(
            EngineOptions options,
            MillisClock clock,
            PrefixCache cache,
            EngineFaults faults,
            Predicate<ModelPin> isModelLoaded) {
        this.options = options;
        this.clock = clock;
        this.cache = cache;
        this.faults = faults;
        this.isModelLoaded = isModelLoaded;
    }

    /**
     * Queues an attempt.
     *
     * @param request attempt to compute
     * @return output of the attempt, empty until it gets a slot
     * @throws EngineRefusalException if the model is not loaded, the attempt exists already, or the
     *     queue and all slots are full
     */
    synchronized AttemptStream submit(StreamRequest request) throws EngineRefusalException {
        String key = streamKey(request.generation(), request.attempt());
        if (!isModelLoaded.test(request.model())) {
            throw new EngineRefusalException(409, "model_not_loaded");
        }
        if (streams.containsKey(key)) {
            throw new EngineRefusalException(409, "attempt_exists");
        }
        if (queuedStreams.size() >= options.maxQueue() && activeStreams.size() >= options.slots()) {
            throw new EngineRefusalException(503, "overloaded");
        }
        AttemptStream stream = new AttemptStream(request, clock.nowMs());
        streams.put(key, stream);
        queuedStreams.add(new QueuedStream(stream, arrivalCount++));
        return stream;
    }

    synchronized Optional<AttemptStream> find(String generation, int attempt) {
        return Optional.ofNullable(streams.get(streamKey(generation, attempt)));
    }

    /** Cancels an attempt. Has no effect if the attempt is unknown or has ended. */
    synchronized void cancel(String generation, int attempt) {
        AttemptStream stream = streams.get(streamKey(generation, attempt));
        if (stream != null) {
            stream.finish("cancelled", clock.nowMs());
        }
    }

    /**
     * Runs one decode step: removes ended streams, fills free slots and computes a token per active
     * stream.
     */
    synchronized void step() {
        long nowMs = clock.nowMs();
        expireStreams(nowMs);
        activeStreams.removeIf(entry -> entry.stream().isFinished());
        queuedStreams.removeIf(entry -> entry.stream().isFinished());
        while (activeStreams.size() < options.slots() && !queuedStreams.isEmpty()) {
            activeStreams.add(prefill(queuedStreams.poll().stream(), nowMs));
        }
        for (ActiveStream entry : activeStreams) {
            if (nowMs >= entry.prefillEndMs()) {
                decode(entry.stream(), nowMs);
            }
        }
        recordLoadSample(nowMs);
    }

    /** Returns the load as it was {@code loadLagMs} ago. */
    synchronized EndpointLoad reportedLoad() {
        long reportedAtMs = clock.nowMs() - options.loadLagMs();
        LoadSample reported = null;
        for (LoadSample sample : loadSamples) {
            if (sample.sampledAtMs() > reportedAtMs && reported != null) {
                break;
            }
            reported = sample;
        }
        if (reported == null) {
            return new EndpointLoad(0, 0, options.slots(), 0);
        }
        LoadSample windowStart = reported;
        for (LoadSample sample : loadSamples) {
            if (reported.sampledAtMs() - sample.sampledAtMs() <= RATE_WINDOW_MS) {
                windowStart = sample;
                break;
            }
        }
        long spanMs = Math.max(1, reported.sampledAtMs() - windowStart.sampledAtMs());
        double tokensPerS =
                (reported.computedTokens() - windowStart.computedTokens()) * 1_000.0 / spanMs;
        return new EndpointLoad(reported.running(), reported.queued(), options.slots(), tokensPerS);
    }

    synchronized int activeCount() {
        return activeStreams.size();
    }

    synchronized int queuedCount() {
        return queuedStreams.size();
    }

    private ActiveStream prefill(AttemptStream stream, long nowMs) {
        StreamRequest request = stream.request();
        PrefixHashes hashes = PrefixHashes.of(request.prompt());
        int cachedBlocks = cache.lookUpAndStore(hashes, nowMs);
        int promptTokens = (hashes.promptBytes() + 3) / 4;
        int cachedTokens = cachedBlocks * TOKENS_PER_BLOCK;
        int computedTokenCount = promptTokens - cachedTokens + request.prefix().size();
        stream.setPrefillCounts(computedTokenCount, cachedTokens);
        double computedBlocks = (double) computedTokenCount / TOKENS_PER_BLOCK;
        long prefillMs =
                Math.round(computedBlocks * options.prefillMsPerBlock() * faults.slowDownFactor());
        return new ActiveStream(stream, nowMs + prefillMs);
    }

    private void decode(AttemptStream stream, long nowMs) {
        StreamRequest request = stream.request();
        long offset = stream.nextOffset();
        if (offset < request.maxTokens()) {
            ExpectedOutput output = ExpectedOutput.of(request.prompt(), request.seed());
            int attempt = options.outputDependsOnAttempt() ? request.attempt() : 0;
            stream.append(output.tokenOfAttempt(offset, attempt), nowMs);
            computedTokens++;
            faults.countComputedToken();
        }
        if (stream.nextOffset() >= request.maxTokens()) {
            stream.finish("length", nowMs);
        }
    }

    private void expireStreams(long nowMs) {
        Iterator<AttemptStream> iterator = streams.values().iterator();
        while (iterator.hasNext()) {
            AttemptStream stream = iterator.next();
            if (!stream.isFinished() && stream.isUnreadFor(UNREAD_TIMEOUT_MS, nowMs)) {
                stream.finish("abandoned", nowMs);
            }
            if (stream.isFinished() && nowMs - stream.finishedAtMs() >= FINISHED_RETENTION_MS) {
                iterator.remove();
            }
        }
    }

    private void recordLoadSample(long nowMs) {
        loadSamples.addLast(
                new LoadSample(nowMs, activeStreams.size(), queuedStreams.size(), computedTokens));
        long oldestMs = nowMs - options.loadLagMs() - 2 * RATE_WINDOW_MS;
        while (loadSamples.peekFirst().sampledAtMs() < oldestMs) {
            loadSamples.removeFirst();
        }
    }

    private static String streamKey(String generation, int attempt) {
        return generation + "/" + attempt;
    }

    private record QueuedStream(AttemptStream stream, long arrivalNumber) {}

    private record ActiveStream(AttemptStream stream, long prefillEndMs) {}

    private record LoadSample(long sampledAtMs, int running, int queued, long computedTokens) {}
}
