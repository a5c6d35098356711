package io.sapphirestack.core.limit;

/** Rate of events with exponential decay. Not thread-safe. */
final class DecayingRate {
    private final double timeConstantMs;
    private double weight;
    private long updatedMs;

    DecayingRate(double timeConstantMs, long nowMs) {
        this.timeConstantMs = timeConstantMs;
        this.updatedMs = nowMs;
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
        if (nowMs > updatedMs) {
            weight *= Math.exp(-(nowMs - updatedMs) / timeConstantMs);
            updatedMs = nowMs;
        }
    }
}
