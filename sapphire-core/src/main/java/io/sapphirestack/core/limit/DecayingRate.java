package io.sapphirestack.core.limit;

/** Rate of events as an exponentially decaying average. Not thread-safe. */
final class DecayingRate {
    private final double timeConstantMs;
    private double weight;
    private long updatedAtMs;

    DecayingRate(double timeConstantMs, long nowMs) {
        this.timeConstantMs = timeConstantMs;
        this.updatedAtMs = nowMs;
    }

    void add(long nowMs) {
        decay(nowMs);
        weight += 1;
    }

    double perS(long nowMs) {
        decay(nowMs);
        return weight / timeConstantMs * 1_000;
    }

    private void decay(long nowMs) {
        if (nowMs > updatedAtMs) {
            weight *= Math.exp(-(nowMs - updatedAtMs) / timeConstantMs);
            updatedAtMs = nowMs;
        }
    }
}
