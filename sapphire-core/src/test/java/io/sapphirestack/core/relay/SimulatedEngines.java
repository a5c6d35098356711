package io.sapphirestack.core.relay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;

/** Engine that writes all its streams token by token and reads prompts in chunks in between. */
final class SimulatedEngines {

    private static final double STEP_MS = 4.55;
    private static final int CHUNK_TOKENS = 512;
    private static final double TOKENS_READ_PER_MS = 8;

    /** One stream, wherever it runs. */
    static final class Stream {
        final double arrivedMs;
        int unreadTokens;
        int unwrittenTokens;
        double firstTokenMs = -1;
        Consumer<Stream> onFirstToken = stream -> {};
        Consumer<Stream> onEnd = stream -> {};

        Stream(double arrivedMs, int promptTokens, int outputTokens) {
            this.arrivedMs = arrivedMs;
            this.unreadTokens = promptTokens;
            this.unwrittenTokens = outputTokens;
        }
    }

    private SimulatedEngines() {}

    /** One engine. */
    static final class Engine {
        private final Deque<Stream> reading = new ArrayDeque<>();
        private final List<Stream> writing = new ArrayList<>();
        private double stepEndsMs;
        private int chunkTokens;
        private boolean stepping;

        void add(Stream stream) {
            if (stream.unreadTokens > 0) {
                reading.add(stream);
            } else {
                writing.add(stream);
            }
        }

        /** Stops and returns all streams. */
        List<Stream> crash() {
            List<Stream> all = new ArrayList<>(reading);
            all.addAll(writing);
            reading.clear();
            writing.clear();
            stepping = false;
            return all;
        }

        void advanceTo(double nowMs) {
            while (stepping ? stepEndsMs <= nowMs : hasWork()) {
                if (stepping) {
                    endStep();
                } else {
                    beginStep(Math.max(stepEndsMs, nowMs - 1));
                }
            }
        }

        private boolean hasWork() {
            return !reading.isEmpty() || !writing.isEmpty();
        }

        private void beginStep(double startMs) {
            chunkTokens =
                    reading.isEmpty() ? 0 : Math.min(CHUNK_TOKENS, reading.peek().unreadTokens);
            stepEndsMs = startMs + STEP_MS + chunkTokens / TOKENS_READ_PER_MS;
            stepping = true;
        }

        private void endStep() {
            stepping = false;
            List<Stream> ended = new ArrayList<>();
            for (Stream stream : writing) {
                stream.unwrittenTokens--;
                if (stream.unwrittenTokens == 0) {
                    ended.add(stream);
                }
            }
            writing.removeAll(ended);
            ended.forEach(stream -> stream.onEnd.accept(stream));
            if (chunkTokens > 0) {
                endChunk();
            }
        }

        private void endChunk() {
            Stream stream = reading.peek();
            stream.unreadTokens -= chunkTokens;
            if (stream.unreadTokens == 0) {
                reading.poll();
                writing.add(stream);
                if (stream.firstTokenMs < 0) {
                    stream.firstTokenMs = stepEndsMs;
                }
                stream.onFirstToken.accept(stream);
            }
        }
    }
}
