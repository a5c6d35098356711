package io.sapphirestack.standins.load;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.SynchronizedHistogram;

/** Latencies and counts of a load. All times are in milliseconds. Thread-safe. */
final class LoadStatistics {

    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double[] PERCENTILES = {50, 95, 99, 99.9};

    private final Map<String, Histogram> histograms = new LinkedHashMap<>();
    private final Map<String, Long> counts = new TreeMap<>();
    private final Map<String, Long> refusals = new TreeMap<>();

    LoadStatistics() {
        for (String name :
                new String[] {
                    "time to first token", "between tokens", "longest gap", "order", "read"
                }) {
            histograms.put(name, new SynchronizedHistogram(SIGNIFICANT_DIGITS));
        }
    }

    void recordLatency(String histogram, long ms) {
        histograms.get(histogram).recordValue(Math.max(0, ms));
    }

    synchronized void count(String name) {
        counts.merge(name, 1L, Long::sum);
    }

    synchronized void countRefusal(String code) {
        refusals.merge(code, 1L, Long::sum);
    }

    /** Returns the number of responses that violated the API contract. */
    synchronized long contractViolations() {
        return counts.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith("wrong"))
                .mapToLong(Map.Entry::getValue)
                .sum();
    }

    /** Returns the result as a tree for JSON. */
    synchronized Map<String, Object> toMap() {
        Map<String, Object> result = new LinkedHashMap<>();
        result.put("counts", new TreeMap<>(counts));
        result.put("refusals", new TreeMap<>(refusals));
        Map<String, Object> latencies = new LinkedHashMap<>();
        histograms.forEach((name, histogram) -> latencies.put(name, percentiles(histogram)));
        result.put("latenciesMs", latencies);
        return result;
    }

    /** Returns the result as a table. */
    synchronized String toText() {
        StringBuilder text = new StringBuilder();
        text.append(
                String.format(
                        "%-20s %9s %8s %8s %8s %8s %8s%n",
                        "milliseconds", "count", "p50", "p95", "p99", "p99.9", "max"));
        histograms.forEach(
                (name, histogram) -> {
                    text.append(String.format("%-20s %9d", name, histogram.getTotalCount()));
                    for (double percentile : PERCENTILES) {
                        text.append(
                                String.format(" %8d", histogram.getValueAtPercentile(percentile)));
                    }
                    text.append(String.format(" %8d%n", histogram.getMaxValue()));
                });
        counts.forEach((name, count) -> text.append(String.format("%-40s %d%n", name, count)));
        refusals.forEach(
                (code, count) ->
                        text.append(String.format("%-40s %d%n", "refused: " + code, count)));
        return text.toString();
    }

    private static Map<String, Object> percentiles(Histogram histogram) {
        Map<String, Object> values = new LinkedHashMap<>();
        values.put("count", histogram.getTotalCount());
        for (double percentile : PERCENTILES) {
            String name = "p" + (percentile == 99.9 ? "99.9" : Long.toString((long) percentile));
            values.put(name, histogram.getValueAtPercentile(percentile));
        }
        values.put("max", histogram.getMaxValue());
        return values;
    }
}
