package io.sapphirestack.standins.weights;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits a rate by handing out start times, and measures the highest rate over one second and the
 * highest concurrency. Thread-safe.
 */
final class RateMeter {

    private static final long WINDOW_MS = 1_000;

    private final long bytesPerS;
    private final Deque<Chunk> window = new ArrayDeque<>();
    private double freeAtMs;
    private long windowBytes;
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
     * Books bytes.
     *
     * @param bytes number of bytes
     * @param nowMs current time
     * @return time in milliseconds to wait before sending them
     */
    synchronized long book(int bytes, long nowMs) {
        double startMs = Math.max(freeAtMs, nowMs);
        freeAtMs = startMs + bytes * 1_000.0 / bytesPerS;
        return Math.round(startMs - nowMs);
    }

    synchronized void sent(int bytes, long nowMs) {
        window.addLast(new Chunk(nowMs, bytes));
        windowBytes += bytes;
        totalBytes += bytes;
        while (nowMs - window.peekFirst().atMs() >= WINDOW_MS) {
            windowBytes -= window.removeFirst().bytes();
        }
        maxBytesPerS = Math.max(maxBytesPerS, windowBytes);
    }

    synchronized void begin() {
        concurrent++;
        maxConcurrent = Math.max(maxConcurrent, concurrent);
    }

    synchronized void end() {
        concurrent--;
    }

    synchronized Usage usage() {
        return new Usage(maxBytesPerS, maxConcurrent, concurrent, totalBytes);
    }

    private record Chunk(long atMs, int bytes) {}

    /**
     * Use of the store since its start.
     *
     * @param maxBytesPerS most bytes within any second
     * @param maxConcurrent most fetches at the same time
     * @param concurrent fetches now
     * @param totalBytes bytes sent
     */
    record Usage(long maxBytesPerS, int maxConcurrent, int concurrent, long totalBytes) {}
}
