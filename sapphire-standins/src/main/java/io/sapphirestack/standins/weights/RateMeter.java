package io.sapphirestack.standins.weights;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the send rate by delaying each chunk, and measures the highest rate over one second and
 * the highest number of concurrent fetches. Thread-safe.
 */
final class RateMeter {

    private static final long WINDOW_MS = 1_000;

    private final long bytesPerS;
    private final Deque<SentChunk> recentChunks = new ArrayDeque<>();
    private double nextFreeMs;
    private long recentBytes;
    private long maxBytesPerS;
    private long totalBytes;
    private int concurrent;
    private int maxConcurrent;

    /**
     * Creates a meter.
     *
     * @param bytesPerS rate limit in bytes per second, positive
     */
    RateMeter(long bytesPerS) {
        if (bytesPerS <= 0) {
            throw new IllegalArgumentException("bytesPerS must be positive but is " + bytesPerS);
        }
        this.bytesPerS = bytesPerS;
    }

    /**
     * Reserves send capacity.
     *
     * @param bytes number of bytes to send
     * @param nowMs current time
     * @return delay before the bytes may be sent, in milliseconds
     */
    synchronized long reserve(int bytes, long nowMs) {
        double startMs = Math.max(nextFreeMs, nowMs);
        nextFreeMs = startMs + bytes * 1_000.0 / bytesPerS;
        return Math.round(startMs - nowMs);
    }

    synchronized void recordSent(int bytes, long nowMs) {
        recentChunks.addLast(new SentChunk(nowMs, bytes));
        recentBytes += bytes;
        totalBytes += bytes;
        while (nowMs - recentChunks.peekFirst().sentAtMs() >= WINDOW_MS) {
            recentBytes -= recentChunks.removeFirst().bytes();
        }
        maxBytesPerS = Math.max(maxBytesPerS, recentBytes);
    }

    synchronized void beginFetch() {
        concurrent++;
        maxConcurrent = Math.max(maxConcurrent, concurrent);
    }

    synchronized void endFetch() {
        concurrent--;
    }

    synchronized Usage usage() {
        return new Usage(maxBytesPerS, maxConcurrent, concurrent, totalBytes);
    }

    private record SentChunk(long sentAtMs, int bytes) {}

    /**
     * Usage of the store since its start.
     *
     * @param maxBytesPerS largest number of bytes sent since the start within one second
     * @param maxConcurrent largest number of concurrent fetches
     * @param concurrent current number of fetches
     * @param totalBytes bytes sent since the start since the start
     */
    record Usage(long maxBytesPerS, int maxConcurrent, int concurrent, long totalBytes) {}
}
