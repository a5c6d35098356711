package io.sapphirestack.core.version;

/**
 * Responses of the old and the new version of a service to one route within one window of time,
 * summed over one or more instances.
 *
 * @param oldRequests responses and failures of the old version
 * @param oldFailures failures among them
 * @param oldSlow responses among them that were slower than the bound on the latency
 * @param newRequests responses and failures of the new version
 * @param newFailures failures among them
 * @param newSlow responses among them that were slower than the bound on the latency
 */
public record VersionCounts(
        int oldRequests,
        int oldFailures,
        int oldSlow,
        int newRequests,
        int newFailures,
        int newSlow) {

    /** No responses. */
    public static final VersionCounts NONE = new VersionCounts(0, 0, 0, 0, 0, 0);

    /** Outcome of a request. */
    public enum Outcome {
        /** Response within the bound on the latency. */
        GOOD,
        /** Response above the bound on the latency. */
        SLOW,
        /** Error response, or no complete response. */
        FAILED
    }

    /**
     * Returns the counts of one outcome.
     *
     * @param isNew whether the new version was used
     * @param outcome outcome
     * @return counts of one request
     */
    public static VersionCounts of(boolean isNew, Outcome outcome) {
        int failed = outcome == Outcome.FAILED ? 1 : 0;
        int slow = outcome == Outcome.SLOW ? 1 : 0;
        return isNew
                ? new VersionCounts(0, 0, 0, 1, failed, slow)
                : new VersionCounts(1, failed, slow, 0, 0, 0);
    }

    /**
     * Adds other counts of the same window.
     *
     * @param other counts to add
     * @return the sum
     */
    public VersionCounts plus(VersionCounts other) {
        return new VersionCounts(
                oldRequests + other.oldRequests,
                oldFailures + other.oldFailures,
                oldSlow + other.oldSlow,
                newRequests + other.newRequests,
                newFailures + other.newFailures,
                newSlow + other.newSlow);
    }

    /**
     * Merges an earlier or later state of the same sum. Counts of a window only grow; a lower value
     * means that the reports of some instances are missing for a moment.
     *
     * @param other other state of the sum
     * @return the higher value of each count
     */
    public VersionCounts max(VersionCounts other) {
        return new VersionCounts(
                Math.max(oldRequests, other.oldRequests),
                Math.max(oldFailures, other.oldFailures),
                Math.max(oldSlow, other.oldSlow),
                Math.max(newRequests, other.newRequests),
                Math.max(newFailures, other.newFailures),
                Math.max(newSlow, other.newSlow));
    }
}
