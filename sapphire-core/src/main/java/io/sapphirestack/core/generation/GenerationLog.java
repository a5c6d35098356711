package io.sapphirestack.core.generation;

import java.util.List;

/**
 * Output of one generation on one instance: tokens by offset, followed by an end marker. The end
 * marker is one more entry, which is replicated and committed like a token. Not thread-safe.
 */
public final class GenerationLog {

    private final TokenStore tokens = new TokenStore();
    private String finishReason = "";
    private long epoch;
    private long committedLength;

    /**
     * Creates an empty log.
     *
     * @param epoch epoch of the owner whose entries it will store
     */
    public GenerationLog(long epoch) {
        this.epoch = epoch;
    }

    /** Returns the highest epoch of an owner whose entries this log has stored. */
    public long epoch() {
        return epoch;
    }

    /** Returns the number of tokens. */
    public long tokenCount() {
        return tokens.size();
    }

    /** Returns the number of entries: all tokens and, if present, the end marker. */
    public long length() {
        return tokens.size() + (ended() ? 1 : 0);
    }

    /** Returns whether the end marker is present, committed or not. */
    public boolean ended() {
        return !finishReason.isEmpty();
    }

    /** Returns why the output ended, or an empty string if there is no end marker. */
    public String finishReason() {
        return finishReason;
    }

    /** Returns the number of committed entries. */
    public long committedLength() {
        return committedLength;
    }

    /** Returns the number of committed tokens. Only these may be delivered to callers. */
    public long committedTokenCount() {
        return Math.min(committedLength, tokens.size());
    }

    /** Returns whether the end marker is committed. */
    public boolean complete() {
        return ended() && committedLength == length();
    }

    /** Returns the memory used by the entries, in bytes. */
    public long sizeBytes() {
        return tokens.sizeBytes();
    }

    /**
     * Reads tokens.
     *
     * @param from offset of the first token
     * @param to offset after the last token
     * @param maxBytes size limit in bytes of UTF-8; the first token is returned even if it exceeds
     *     the limit
     * @return token texts
     */
    public List<String> read(long from, long to, int maxBytes) {
        return tokens.read(Math.toIntExact(from), Math.toIntExact(to), maxBytes);
    }

    /** Releases the unused capacity of a complete log. */
    public void trim() {
        tokens.trim();
    }

    /**
     * Starts an epoch in which this instance is the owner and this log the reference for replicas.
     *
     * @param newEpoch epoch, not lower than the current one
     * @throws IllegalArgumentException if the epoch is lower than the current one
     */
    public void beginEpoch(long newEpoch) {
        if (newEpoch < epoch) {
            throw new IllegalArgumentException(
                    "epoch " + newEpoch + " is lower than the current epoch " + epoch);
        }
        epoch = newEpoch;
    }

    /**
     * Appends a token on the owner.
     *
     * @param offset offset of the token
     * @param token text of the token
     * @return whether the token was appended; {@code false} if it is not the next token or the
     *     output has ended
     */
    public boolean append(long offset, String token) {
        if (ended() || offset != tokens.size()) {
            return false;
        }
        tokens.add(token);
        return true;
    }

    /**
     * Appends the end marker on the owner.
     *
     * @param reason why the output ended, not empty
     * @return whether the marker was appended; {@code false} if the output has ended already
     * @throws IllegalArgumentException if the reason is empty
     */
    public boolean end(String reason) {
        if (reason.isEmpty()) {
            throw new IllegalArgumentException("reason must not be empty");
        }
        if (ended()) {
            return false;
        }
        finishReason = reason;
        return true;
    }

    /**
     * Raises the committed offset.
     *
     * @param entries number of entries that every live member has acknowledged
     * @return whether the committed offset increased
     */
    public boolean commit(long entries) {
        long next = Math.min(entries, length());
        if (next <= committedLength) {
            return false;
        }
        committedLength = next;
        return true;
    }

    /**
     * Stores entries of the owner on a replica.
     *
     * <p>If the epoch is higher, the log is truncated and the new owner's entries are stored in the
     * same call. With two separate calls, committed entries would be missing if the new owner
     * failed between them, because a replica may not know yet that an entry is committed.
     *
     * @param appendEpoch epoch of the owner, not lower than {@link #epoch()}
     * @param from offset of the first entry
     * @param newTokens tokens from that offset on
     * @param newFinishReason finish reason if the end marker follows the tokens, otherwise empty
     * @return whether the entries are stored; if not, the owner must send from {@link
     *     #maxAppendOffset(long)} or an earlier offset
     * @throws IllegalArgumentException if the epoch is lower than the current one
     */
    public boolean store(
            long appendEpoch, long from, List<String> newTokens, String newFinishReason) {
        if (appendEpoch < epoch) {
            throw new IllegalArgumentException(
                    "epoch " + appendEpoch + " is lower than the current epoch " + epoch);
        }
        if (from < 0 || from > maxAppendOffset(appendEpoch)) {
            return false;
        }
        if (appendEpoch > epoch) {
            long newLength = from + newTokens.size() + (newFinishReason.isEmpty() ? 0 : 1);
            if (newLength < committedLength) {
                return false;
            }
            truncate(from);
            epoch = appendEpoch;
        }
        long storedCount = tokens.size() - from;
        for (int i = (int) Math.max(0, storedCount); i < newTokens.size() && !ended(); i++) {
            tokens.add(newTokens.get(i));
        }
        boolean reachesEnd = from + newTokens.size() == tokens.size();
        if (!newFinishReason.isEmpty() && !ended() && reachesEnd) {
            finishReason = newFinishReason;
        }
        return true;
    }

    /**
     * Returns the highest offset at which the next append of an owner may start.
     *
     * @param appendEpoch epoch of the owner
     * @return the length of this log, or the committed offset if the epoch is higher, because the
     *     logs are only known to be equal up to there
     */
    public long maxAppendOffset(long appendEpoch) {
        return appendEpoch > epoch ? committedLength : length();
    }

    private void truncate(long entries) {
        if (entries <= tokens.size()) {
            finishReason = "";
            tokens.truncate(Math.toIntExact(entries));
        }
    }
}
