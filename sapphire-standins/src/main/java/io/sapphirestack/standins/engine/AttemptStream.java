package io.sapphirestack.standins.engine;

import java.util.ArrayList;
import java.util.List;

/**
 * Output of one attempt, from which any number of connections can read. Thread-safe.
 *
 * <p>Times are on the monotonic clock, in milliseconds.
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

    /** Returns the offset that the next token gets. */
    synchronized long nextOffset() {
        return firstOffset + tokens.size();
    }

    synchronized void setPrefill(int prefilled, int cached) {
        prefilledTokens = prefilled;
        cachedTokens = cached;
    }

    synchronized void append(String text, long nowMs) {
        tokens.add(new TimedToken(text, nowMs));
        notifyAll();
    }

    /** Ends the output; a later reason is ignored. */
    synchronized void finish(String reason, long nowMs) {
        if (finishReason.isEmpty()) {
            finishReason = reason;
            finishedAtMs = nowMs;
            notifyAll();
        }
    }

    synchronized boolean finished() {
        return !finishReason.isEmpty();
    }

    synchronized long finishedAtMs() {
        return finishedAtMs;
    }

    synchronized void readerCame() {
        readers++;
    }

    synchronized void readerLeft(long nowMs) {
        readers--;
        lastReadAtMs = nowMs;
    }

    /** Tells whether nobody has read for a period. */
    synchronized boolean unreadFor(long periodMs, long nowMs) {
        return readers == 0 && nowMs - lastReadAtMs >= periodMs;
    }

    /**
     * Waits for tokens.
     *
     * @param fromOffset offset of the first token wanted
     * @param waitMs longest wait in milliseconds
     * @return what there is now
     */
    synchronized Progress await(long fromOffset, long waitMs) throws InterruptedException {
        long from = Math.max(fromOffset, firstOffset);
        if (from >= nextOffset() && finishReason.isEmpty()) {
            wait(waitMs);
        }
        int index = (int) Math.min(from - firstOffset, tokens.size());
        return new Progress(
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
     * @param atMs when it was computed
     */
    record TimedToken(String text, long atMs) {}

    /**
     * Part of the output.
     *
     * @param fromOffset offset of the first token
     * @param tokens tokens in order
     * @param finishReason why the output ended, empty while it goes on
     * @param prefilledTokens prompt and prefix tokens that were computed
     * @param cachedTokens prompt tokens that came from the cache
     */
    record Progress(
            long fromOffset,
            List<TimedToken> tokens,
            String finishReason,
            int prefilledTokens,
            int cachedTokens) {}
}
