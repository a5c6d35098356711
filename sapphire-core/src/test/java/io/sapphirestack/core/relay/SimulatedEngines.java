package io.sapphirestack.core.relay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;

/**
 * Simulated engines with continuous batching: each step decodes one token of every running stream
 * and prefills at most one chunk of the oldest waiting prompt.
 */
final class SimulatedEngines {

    private static final double DECODE_STEP_MS = 4.55;
    private static final int PREFILL_CHUNK_TOKENS = 512;
    private static final double PREFILL_TOKENS_PER_MS = 8;

    /** State of one stream, which moves with it to another engine. */
    static final class Stream {
        final double arrivedMs;
        int tokensToPrefill;
        int tokensToDecode;
        double firstTokenMs = -1;
        Consumer<Stream> onFirstToken = stream -> {};
        Consumer<Stream> onEnd = stream -> {};

        Stream(double arrivedMs, int promptTokens, int outputTokens) {
            this.arrivedMs = arrivedMs;
            this.tokensToPrefill = promptTokens;
            this.tokensToDecode = outputTokens;
        }
    }

    private SimulatedEngines() {}

    /** Engine with a queue of prompts and a batch of running streams. */
    static final class Engine {
        private final Deque<Stream> prefillQueue = new ArrayDeque<>();
        private final List<Stream> decoding = new ArrayList<>();
        private double stepEndsMs;
        private int chunkTokens;
        private boolean stepRunning;

        void add(Stream stream) {
            if (stream.tokensToPrefill > 0) {
                prefillQueue.add(stream);
            } else {
                decoding.add(stream);
            }
        }

        /** Crashes the engine; returns all its streams, which have to be placed again. */
        List<Stream> crash() {
            List<Stream> all = new ArrayList<>(prefillQueue);
            all.addAll(decoding);
            prefillQueue.clear();
            decoding.clear();
            stepRunning = false;
            return all;
        }

        void advanceTo(double nowMs) {
            while (stepRunning ? stepEndsMs <= nowMs : hasWork()) {
                if (stepRunning) {
                    endStep();
                } else {
                    beginStep(Math.max(stepEndsMs, nowMs - 1));
                }
            }
        }

        private boolean hasWork() {
            return !prefillQueue.isEmpty() || !decoding.isEmpty();
        }

        private void beginStep(double startMs) {
            chunkTokens =
                    prefillQueue.isEmpty()
                            ? 0
                            : Math.min(PREFILL_CHUNK_TOKENS, prefillQueue.peek().tokensToPrefill);
            stepEndsMs = startMs + DECODE_STEP_MS + chunkTokens / PREFILL_TOKENS_PER_MS;
            stepRunning = true;
        }

        private void endStep() {
            stepRunning = false;
            List<Stream> ended = new ArrayList<>();
            for (Stream stream : decoding) {
                stream.tokensToDecode--;
                if (stream.tokensToDecode == 0) {
                    ended.add(stream);
                }
            }
            decoding.removeAll(ended);
            ended.forEach(stream -> stream.onEnd.accept(stream));
            if (chunkTokens > 0) {
                endChunk();
            }
        }

        private void endChunk() {
            Stream stream = prefillQueue.peek();
            stream.tokensToPrefill -= chunkTokens;
            if (stream.tokensToPrefill == 0) {
                prefillQueue.poll();
                decoding.add(stream);
                if (stream.firstTokenMs < 0) {
                    stream.firstTokenMs = stepEndsMs;
                }
                stream.onFirstToken.accept(stream);
            }
        }
    }
}
