package io.sapphirestack.core.rollout;

/**
 * Likelihood ratio of one window. Given how many bad responses both versions had together, the
 * number of those of the new version follows a hypergeometric distribution if the versions are
 * equally good, and Fisher's noncentral one if the odds of a bad response differ. This holds for
 * any rate of bad responses, so a failing old version or a loaded system is no evidence.
 */
final class EvidenceRatio {

    private EvidenceRatio() {}

    /**
     * Returns the logarithms of the likelihood ratios of several odds ratios to an odds ratio of 1.
     *
     * @param newRequests requests to the new version
     * @param newBad bad responses among them
     * @param oldRequests requests to the old version
     * @param oldBad bad responses among them
     * @param oddsRatios odds of a bad response of the new version relative to the old one
     * @return natural logarithm for each odds ratio; 0 if the window says nothing
     */
    static double[] ln(
            int newRequests, int newBad, int oldRequests, int oldBad, double[] oddsRatios) {
        double[] result = new double[oddsRatios.length];
        int bad = newBad + oldBad;
        int lowest = Math.max(0, bad - oldRequests);
        int highest = Math.min(newRequests, bad);
        if (lowest >= highest) {
            return result;
        }
        double[] lnWeights = lnWeights(newRequests, oldRequests, bad, lowest, highest);
        double lnTotal = lnSum(lnWeights, lowest, 0);
        for (int i = 0; i < oddsRatios.length; i++) {
            double lnOdds = Math.log(oddsRatios[i]);
            result[i] = newBad * lnOdds - (lnSum(lnWeights, lowest, lnOdds) - lnTotal);
        }
        return result;
    }

    /** Returns the weights of the hypergeometric distribution, relative to the lowest value. */
    private static double[] lnWeights(
            int newRequests, int oldRequests, int bad, int lowest, int highest) {
        double[] lnWeights = new double[highest - lowest + 1];
        for (int i = 1; i < lnWeights.length; i++) {
            int j = lowest + i - 1;
            double ratio =
                    (double) (newRequests - j)
                            * (bad - j)
                            / ((double) (j + 1) * (oldRequests - bad + j + 1));
            lnWeights[i] = lnWeights[i - 1] + Math.log(ratio);
        }
        return lnWeights;
    }

    private static double lnSum(double[] lnWeights, int lowest, double lnOdds) {
        double highest = Double.NEGATIVE_INFINITY;
        for (int i = 0; i < lnWeights.length; i++) {
            highest = Math.max(highest, lnWeights[i] + (lowest + i) * lnOdds);
        }
        double sum = 0;
        for (int i = 0; i < lnWeights.length; i++) {
            sum += Math.exp(lnWeights[i] + (lowest + i) * lnOdds - highest);
        }
        return highest + Math.log(sum);
    }
}
