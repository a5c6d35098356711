package io.sapphirestack.core.replication;

/**
 * Decides when a node that hears of no leader starts an election. The timeout is random between the
 * two of the settings. A disk that syncs slowly must not make elections overtake each other: while
 * the term and the vote of the node are being written no election starts, the time of that write is
 * added to the timeout, and candidacies in a row that were not won are further apart. Not
 * thread-safe.
 */
final class ElectionTimer {

    /**
     * Number of writes of a term and vote that an election waits for: that of the candidate, then
     * that of the other voters.
     */
    private static final int WRITES_PER_ELECTION = 2;

    /** Longest time of a write that is taken into account, in milliseconds. */
    private static final long MAX_WRITE_MS = 2_000;

    /** Candidacies in a row with the ordinary timeout; one may be lost by a split vote. */
    private static final int ORDINARY_CANDIDACIES = 2;

    /** Maximum factor of the timeout. */
    private static final int MAX_FACTOR = 8;

    private final NodeState state;
    private long deadlineMs;
    private int candidacies;

    ElectionTimer(NodeState state) {
        this.state = state;
        reset();
    }

    /** Starts the timeout again. */
    void reset() {
        ReplicationSettings settings = state.settings;
        long timeoutMs =
                state.random.nextLong(settings.electionMinMs(), settings.electionMaxMs() + 1);
        deadlineMs = state.clock.nowMs() + timeoutMs * factor();
    }

    /** Makes the node start an election at its next step. */
    void expire() {
        deadlineMs = state.clock.nowMs();
    }

    /** Returns whether an election is due. */
    boolean isExpired() {
        return state.clock.nowMs() >= deadlineMs && state.queue.isHardStateDurable();
    }

    /** Records that the node asks for votes. */
    void onCandidacy() {
        candidacies++;
    }

    /** Records that there is a leader. */
    void onLeader() {
        candidacies = 0;
    }

    /**
     * Records that a term and vote became durable.
     *
     * @param writeMs time since they were changed, in milliseconds
     */
    void onHardStateDurable(long writeMs) {
        deadlineMs += WRITES_PER_ELECTION * Math.min(MAX_WRITE_MS, writeMs);
    }

    private int factor() {
        int excess = Math.max(0, candidacies - ORDINARY_CANDIDACIES);
        return excess >= Integer.numberOfTrailingZeros(MAX_FACTOR) ? MAX_FACTOR : 1 << excess;
    }
}
