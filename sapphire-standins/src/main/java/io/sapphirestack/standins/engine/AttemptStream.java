package io.sapphirestack.standins.engine;

import java.util.ArrayList;
import java.util.List;

/**
 * Output of one attempt, which any number of connections can read at the same time. Thread-safe.
 *
 * <p>Times are in milliseconds on the monotonic clock.
 */
final class AttemptStream {

    private final StreamRequest request;
    private final long firstOffset;
    private final List<TimedToken> tokens = new ArrayList<>();
    private String finishReason = "";
    private long finishedAtMs;
    private long lastReadAtMs;
    private int readers;
    private int prefilledTokens;
    private int cachedTokens;

    AttemptStream(StreamRequest request, long nowMs) {
        this.request = request;
        this.firstOffset = request.prefix().size();
        this.lastReadAtMs = nowMs;
    }

    StreamRequest request() {
        return request;
    }

    /** Returns the offset of the next token to be appended. */
    synchronized long nextOffset() {
        return firstOffset + tokens.size();
    }

    synchronized void setPrefillCounts(int newPrefilledTokens, int newCachedTokens) {
        prefilledTokens = newPrefilledTokens;
        cachedTokens = newCachedTokens;
    }

    synchronized void append(String text, long nowMs) {
        tokens.add(new TimedToken(text, nowMs));
        notifyAll();
    }

    /** Ends the output with a finish reason. Has no effect if the output has already ended. */
    synchronized void finish(String reason, long nowMs) {
        if (finishReason.isEmpty()) {
            finishReason = reason;
            finishedAtMs = nowMs;
            notifyAll();
        }
    }

    synchronized boolean isFinished() {
        return !finishReason.isEmpty();
    }

    synchronized long finishedAtMs() {
        return finishedAtMs;
    }

    synchronized void addReader() {
        readers++;
    }

    synchronized void removeReader(long nowMs) {
        readers--;
        lastReadAtMs = nowMs;
    }

    /** Returns whether no connection has read the output for at least {@code periodMs}. */
    synchronized boolean isUnreadFor(long periodMs, long nowMs) {
        return readers == 0 && nowMs - lastReadAtMs >= periodMs;
    }

    /**
     * Returns the output from an offset on, waiting if there is none yet.
     *
     * @param fromOffset offset of the first token to return; an offset inside the prefix means the
     *     first computed token
     * @param waitMs longest wait for a token or the end of the output, in milliseconds
     * @return tokens available after the wait, possibly none
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    synchronized OutputPart awaitTokens(long fromOffset, long waitMs) throws InterruptedException {
        long from = Math.max(fromOffset, firstOffset);
        if (from >= nextOffset() && finishReason.isEmpty()) {
            wait(waitMs);
        }
        int index = (int) Math.min(from - firstOffset, tokens.size());
        return new OutputPart(
                from,
                List.copyOf(tokens.subList(index, tokens.size())),
                finishReason,
                prefilledTokens,
                cachedTokens);
    }

    /**
     * Token with the time at which it was computed.
     *
     * @param text text of the token
     * @param computedAtMs time at which it was computed
     */
    record TimedToken(String text, long computedAtMs) {}

    /**
     * Contiguous part of the output.
     *
     * @param fromOffset offset of the first token
     * @param tokens tokens in order
     * @param finishReason reason for the end of the output, empty if it has not ended
     * @param prefilledTokens prompt and prefix tokens computed during prefill
     * @param cachedTokens prompt tokens taken from the prefix cache
     */
    record OutputPart(
            long fromOffset,
            List<TimedToken> tokens,
            String finishReason,
            int prefilledTokens,
            int cachedTokens) {}
}
