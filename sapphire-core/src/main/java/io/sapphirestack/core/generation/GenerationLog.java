package io.sapphirestack.core.generation;

import java.util.List;

/**
 * Output of one generation at one holder: tokens by offset and an end marker, which counts as one
 * more entry and is replicated and committed like a token. Not thread-safe.
 */
public final class GenerationLog {

    private final TokenStore tokens = new TokenStore();
    private String finishReason = "";
    private long epoch;
    private long committed;

    /**
     * Creates an empty log.
     *
     * @param epoch epoch of the owner whose entries it will take
     */
    public GenerationLog(long epoch) {
        this.epoch = epoch;
    }

    /** Returns the epoch of the owner whose log this one follows. */
    public long epoch() {
        return epoch;
    }

    /** Returns the number of tokens. */
    public long tokenCount() {
        return tokens.size();
    }

    /** Returns the number of entries: tokens and the end marker. */
    public long length() {
        return tokens.size() + (ended() ? 1 : 0);
    }

    /** Returns whether the end marker is present, committed or not. */
    public boolean ended() {
        return !finishReason.isEmpty();
    }

    /** Returns why the output ended, or an empty text without the end marker. */
    public String finishReason() {
        return finishReason;
    }

    /** Returns the number of committed entries. */
    public long committed() {
        return committed;
    }

    /** Returns the number of committed tokens; only these may be delivered to callers. */
    public long committedTokens() {
        return Math.min(committed, tokens.size());
    }

    /** Returns whether the end marker is committed. */
    public boolean complete() {
        return ended() && committed == length();
    }

    /** Returns the memory that the entries take, in bytes. */
    public long sizeBytes() {
        return tokens.sizeBytes();
    }

    /**
     * Reads tokens.
     *
     * @param from offset of the first token
     * @param to offset after the last token
     * @param maxBytes size limit in bytes of UTF-8; at least one token is returned if there is one
     * @return token texts
     */
    public List<String> read(long from, long to, int maxBytes) {
        return tokens.read(Math.toIntExact(from), Math.toIntExact(to), maxBytes);
    }

    /** Releases spare memory of a complete log. */
    public void trim() {
        tokens.trim();
    }

    /**
     * Starts the epoch of this holder as owner; its copy becomes the reference.
     *
     * @param newEpoch epoch, not lower than the current one
     */
    public void beginEpoch(long newEpoch) {
        if (newEpoch < epoch) {
            throw new IllegalArgumentException("epoch " + newEpoch + " is below " + epoch);
        }
        epoch = newEpoch;
    }

    /**
     * Appends a token at the owner.
     *
     * @param offset offset of the token
     * @param token text
     * @return whether it was the next token; other offsets change nothing
     */
    public boolean append(long offset, String token) {
        if (ended() || offset != tokens.size()) {
            return false;
        }
        tokens.add(token);
        return true;
    }

    /**
     * Appends the end marker at the owner.
     *
     * @param reason why the output ended, not empty
     * @return whether it was appended; a second marker changes nothing
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
     * @param entries entries that every live member has acknowledged
     * @return whether the committed offset rose
     */
    public boolean commit(long entries) {
        long next = Math.min(entries, length());
        if (next <= committed) {
            return false;
        }
        committed = next;
        return true;
    }

    /**
     * Takes entries of the owner at a replica.
     *
     * <p>On a higher epoch the copy is truncated to the new owner's log in the same step as the
     * replacement is stored. Two steps would lose committed entries if the new owner failed in
     * between, because a replica may not know yet that an entry is committed.
     *
     * @param appendEpoch epoch of the owner, not lower than {@link #epoch()}
     * @param from offset of the first entry
     * @param newTokens tokens from that offset on
     * @param newFinishReason reason of the end marker after the tokens, or empty without it
     * @return whether the entries are stored; otherwise the owner must start at {@link
     *     #wantedFrom(long)} or earlier
     */
    public boolean store(
            long appendEpoch, long from, List<String> newTokens, String newFinishReason) {
        if (appendEpoch < epoch) {
            throw new IllegalArgumentException("epoch " + appendEpoch + " is below " + epoch);
        }
        if (from < 0 || from > wantedFrom(appendEpoch)) {
            return false;
        }
        if (appendEpoch > epoch) {
            long newLength = from + newTokens.size() + (newFinishReason.isEmpty() ? 0 : 1);
            if (newLength < committed) {
                return false;
            }
            truncate(from);
            epoch = appendEpoch;
        }
        long skip = tokens.size() - from;
        for (int i = (int) Math.max(0, skip); i < newTokens.size() && !ended(); i++) {
            tokens.add(newTokens.get(i));
        }
        boolean reachesEnd = from + newTokens.size() == tokens.size();
        if (!newFinishReason.isEmpty() && !ended() && reachesEnd) {
            finishReason = newFinishReason;
        }
        return true;
    }

    /**
     * Returns the highest offset from which an owner may send.
     *
     * @param appendEpoch epoch of the owner
     * @return the end of this copy, or the committed offset if the owner is new, because copies are
     *     only known to be equal up to there
     */
    public long wantedFrom(long appendEpoch) {
        return appendEpoch > epoch ? committed : length();
    }

    private void truncate(long entries) {
        if (entries <= tokens.size()) {
            finishReason = "";
            tokens.truncate(Math.toIntExact(entries));
        }
    }
}
