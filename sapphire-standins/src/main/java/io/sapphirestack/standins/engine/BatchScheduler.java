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
 * Continuous batching: every decode step computes one token of each stream that has a slot and has
 * finished its prefill. Waiting streams get free slots by priority, then by arrival. Thread-safe.
 */
final class BatchScheduler {

    /** Tokens of a prompt block, at 4 bytes per token. */
    static final int TOKENS_PER_BLOCK = PrefixHashes.BLOCK_BYTES / 4;

    private static final long UNREAD_LIMIT_MS = 30_000;
    private static final long RETENTION_MS = 60_000;
    private static final long RATE_WINDOW_MS = 1_000;

    private final EngineOptions options;
    private final MillisClock clock;
    private final PrefixCache cache;
    private final EngineFaults faults;
    private final Predicate<ModelPin> loaded;
    private final Map<String, AttemptStream> streams = new HashMap<>();
    private final PriorityQueue<Waiting> queue =
            new PriorityQueue<>(
                    Comparator.comparingInt((Waiting w) -> -w.stream().request().priority())
                            .thenComparingLong(Waiting::arrival));
    private final List<Running> running = new ArrayList<>();
    private final Deque<LoadSample> samples = new ArrayDeque<>();
    private long arrivals;
    private long computedTokens;

    /**
     * Creates an idle scheduler.
     *
     * @param options behaviour
     * @param clock monotonic clock
     * @param cache prefix cache
     * @param faults injected faults
     * @param loaded tells whether a variant is loaded
     */
    BatchScheduler(
            EngineOptions options,
            MillisClock clock,
            PrefixCache cache,
            EngineFaults faults,
            Predicate<ModelPin> loaded) {
        this.options = options;
        this.clock = clock;
        this.cache = cache;
        this.faults = faults;
        this.loaded = loaded;
    }

    /**
     * Queues an attempt.
     *
     * @param request what to compute
     * @return its output
     * @throws EngineRefusal if the attempt does not run
     */
    synchronized AttemptStream submit(StreamRequest request) throws EngineRefusal {
        String name = name(request.generation(), request.attempt());
        if (!loaded.test(request.model())) {
            throw new EngineRefusal(409, "model_not_loaded");
        }
        if (streams.containsKey(name)) {
            throw new EngineRefusal(409, "attempt_exists");
        }
        if (queue.size() >= options.maxQueue() && running.size() >= options.slots()) {
            throw new EngineRefusal(503, "overloaded");
        }
        AttemptStream stream = new AttemptStream(request, clock.nowMs());
        streams.put(name, stream);
        queue.add(new Waiting(stream, arrivals++));
        return stream;
    }

    synchronized Optional<AttemptStream> find(String generation, int attempt) {
        return Optional.ofNullable(streams.get(name(generation, attempt)));
    }

    /** Cancels an attempt, if it is known. */
    synchronized void cancel(String generation, int attempt) {
        AttemptStream stream = streams.get(name(generation, attempt));
        if (stream != null) {
            stream.finish("cancelled", clock.nowMs());
        }
    }

    /** Computes one decode step. */
    synchronized void step() {
        long nowMs = clock.nowMs();
        dropOld(nowMs);
        running.removeIf(entry -> entry.stream().finished());
        queue.removeIf(entry -> entry.stream().finished());
        while (running.size() < options.slots() && !queue.isEmpty()) {
            running.add(prefill(queue.poll().stream(), nowMs));
        }
        for (Running entry : running) {
            if (nowMs >= entry.readyAtMs()) {
                decode(entry.stream(), nowMs);
            }
        }
        sample(nowMs);
    }

    /** Returns the load as it was some time ago. */
    synchronized EndpointLoad reportedLoad() {
        long asOfMs = clock.nowMs() - options.loadLagMs();
        LoadSample reported = null;
        for (LoadSample sample : samples) {
            if (sample.atMs() > asOfMs && reported != null) {
                break;
            }
            reported = sample;
        }
        if (reported == null) {
            return new EndpointLoad(0, 0, options.slots(), 0);
        }
        LoadSample start = reported;
        for (LoadSample sample : samples) {
            if (reported.atMs() - sample.atMs() <= RATE_WINDOW_MS) {
                start = sample;
                break;
            }
        }
        long spanMs = Math.max(1, reported.atMs() - start.atMs());
        double perS = (reported.tokens() - start.tokens()) * 1_000.0 / spanMs;
        return new EndpointLoad(reported.running(), reported.queued(), options.slots(), perS);
    }

    synchronized int runningCount() {
        return running.size();
    }

    synchronized int queuedCount() {
        return queue.size();
    }

    private Running prefill(AttemptStream stream, long nowMs) {
        StreamRequest request = stream.request();
        PrefixHashes hashes = PrefixHashes.of(request.prompt());
        int cached = cache.use(hashes, nowMs);
        int promptTokens = (hashes.promptBytes() + 3) / 4;
        int cachedTokens = cached * TOKENS_PER_BLOCK;
        int computed = promptTokens - cachedTokens + request.prefix().size();
        stream.setPrefill(computed, cachedTokens);
        double blocks = (double) computed / TOKENS_PER_BLOCK;
        long prefillMs = Math.round(blocks * options.prefillMsPerBlock() * faults.slowDown());
        return new Running(stream, nowMs + prefillMs);
    }

    private void decode(AttemptStream stream, long nowMs) {
        StreamRequest request = stream.request();
        long offset = stream.nextOffset();
        if (offset < request.maxTokens()) {
            ExpectedOutput output = ExpectedOutput.of(request.prompt(), request.seed());
            int attempt = options.outputDependsOnAttempt() ? request.attempt() : 0;
            stream.append(output.tokenOfAttempt(offset, attempt), nowMs);
            computedTokens++;
            faults.tokenComputed();
        }
        if (stream.nextOffset() >= request.maxTokens()) {
            stream.finish("length", nowMs);
        }
    }

    private void dropOld(long nowMs) {
        Iterator<AttemptStream> all = streams.values().iterator();
        while (all.hasNext()) {
            AttemptStream stream = all.next();
            if (!stream.finished() && stream.unreadFor(UNREAD_LIMIT_MS, nowMs)) {
                stream.finish("abandoned", nowMs);
            }
            if (stream.finished() && nowMs - stream.finishedAtMs() >= RETENTION_MS) {
                all.remove();
            }
        }
    }

    private void sample(long nowMs) {
        samples.addLast(new LoadSample(nowMs, running.size(), queue.size(), computedTokens));
        long oldestMs = nowMs - options.loadLagMs() - 2 * RATE_WINDOW_MS;
        while (samples.peekFirst().atMs() < oldestMs) {
            samples.removeFirst();
        }
    }

    private static String name(String generation, int attempt) {
        return generation + "/" + attempt;
    }

    private record Waiting(AttemptStream stream, long arrival) {}

    private record Running(AttemptStream stream, long readyAtMs) {}

    private record LoadSample(long atMs, int running, int queued, long tokens) {}
}
