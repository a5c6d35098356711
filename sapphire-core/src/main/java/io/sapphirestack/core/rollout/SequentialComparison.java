package io.sapphirestack.core.rollout;

import io.sapphirestack.core.version.VersionCounts;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Sequential test of whether the new version is worse than the old one in the same windows of time.
 * It may be read after each window: the probability that it is ever clear for an equally good
 * version is bounded by its level.
 *
 * <p>Load that it addresses: both versions get the same requests in the same seconds, while load,
 * crashes and slow intervals change the rates of both. The evidence is the mean of likelihood
 * ratios over all routes together and each route, over failures and slow responses, and over
 * several odds ratios. Each is a mixture over the window in which the version turned bad, so that
 * good behaviour before does not hide a later fault. Not thread-safe.
 */
final class SequentialComparison {

    /** Key of the evidence of all routes together; no route has an empty name. */
    private static final String ALL_ROUTES = "";

    private static final double[] ODDS_RATIOS = {2.5, 8};
    private static final int KINDS_OF_BAD = 2;
    private static final double[] NOTHING = new double[KINDS_OF_BAD * ODDS_RATIOS.length];

    /**
     * Limit on the evidence of one window, as a natural logarithm. The requests that one crash
     * fails are not independent; without the limit, a single crash of an engine would be clear
     * evidence.
     */
    private static final double MAX_LN_PER_WINDOW = Math.log(11);

    /** Prior probability that a bad version is bad from the start; most are. */
    private static final double WEIGHT_OF_FIRST_WINDOW = 0.5;

    private final double lnStartWeight;
    private final Map<String, double[]> lnEvidence = new HashMap<>();

    /**
     * Creates a test without evidence.
     *
     * @param expectedWindows number of windows of the whole rollout, positive
     */
    SequentialComparison(long expectedWindows) {
        this.lnStartWeight = Math.log((1 - WEIGHT_OF_FIRST_WINDOW) / expectedWindows);
        this.lnEvidence.put(ALL_ROUTES, noEvidence());
    }

    private SequentialComparison(SequentialComparison other) {
        this.lnStartWeight = other.lnStartWeight;
        other.lnEvidence.forEach((scope, values) -> lnEvidence.put(scope, values.clone()));
    }

    private static double[] noEvidence() {
        double[] values = new double[KINDS_OF_BAD * ODDS_RATIOS.length];
        Arrays.fill(values, Math.log(WEIGHT_OF_FIRST_WINDOW));
        return values;
    }

    /** Returns a copy that changes independently. */
    SequentialComparison copy() {
        return new SequentialComparison(this);
    }

    /**
     * Adds the next window.
     *
     * @param byRoute logarithms of the likelihood ratios of the window by route, see {@link
     *     #window}
     */
    void add(Map<String, double[]> byRoute) {
        byRoute.keySet().forEach(route -> lnEvidence.computeIfAbsent(route, r -> noEvidence()));
        double[] total = new double[KINDS_OF_BAD * ODDS_RATIOS.length];
        lnEvidence.forEach(
                (scope, values) -> {
                    if (!scope.equals(ALL_ROUTES)) {
                        double[] window = byRoute.getOrDefault(scope, NOTHING);
                        multiply(values, window);
                        for (int i = 0; i < total.length; i++) {
                            total[i] += window[i];
                        }
                    }
                });
        multiply(lnEvidence.get(ALL_ROUTES), total);
    }

    /**
     * Returns the logarithms of the likelihood ratios of one window and route.
     *
     * @param counts counts of both versions
     */
    static double[] window(VersionCounts counts) {
        double[] failures =
                EvidenceRatio.ln(
                        counts.newRequests(),
                        counts.newFailures(),
                        counts.oldRequests(),
                        counts.oldFailures(),
                        ODDS_RATIOS);
        double[] slow =
                EvidenceRatio.ln(
                        counts.newRequests() - counts.newFailures(),
                        counts.newSlow(),
                        counts.oldRequests() - counts.oldFailures(),
                        counts.oldSlow(),
                        ODDS_RATIOS);
        double[] both = new double[failures.length + slow.length];
        System.arraycopy(failures, 0, both, 0, failures.length);
        System.arraycopy(slow, 0, both, failures.length, slow.length);
        return both;
    }

    private void multiply(double[] values, double[] window) {
        for (int i = 0; i < values.length; i++) {
            values[i] = lnAdd(values[i], lnStartWeight) + Math.min(MAX_LN_PER_WINDOW, window[i]);
        }
    }

    /**
     * Returns the evidence against the new version.
     *
     * @return natural logarithm; for an equally good version, it ever reaches {@code x} with a
     *     probability of at most {@code exp(-x)}
     */
    double lnEvidence() {
        double sum = Double.NEGATIVE_INFINITY;
        int count = 0;
        for (double[] values : lnEvidence.values()) {
            for (double value : values) {
                sum = lnAdd(sum, value);
                count++;
            }
        }
        return sum - Math.log(count);
    }

    private static double lnAdd(double one, double other) {
        double higher = Math.max(one, other);
        double lower = Math.min(one, other);
        return lower == Double.NEGATIVE_INFINITY
                ? higher
                : higher + Math.log1p(Math.exp(lower - higher));
    }
}
