package io.sapphirestack.core.objective;

import java.util.concurrent.atomic.AtomicReferenceArray;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts good and bad events of the last six hours in a ring of one-minute buckets. Lock-free and
 * thread-safe.
 */
final class SlidingWindowCounter {

    private static final long BUCKET_MS = 60_000;
    private static final int BUCKET_COUNT =
            Math.toIntExact(BurnWindow.SIX_HOURS.lengthMs() / BUCKET_MS) + 1;

    private final AtomicReferenceArray<Bucket> buckets = new AtomicReferenceArray<>(BUCKET_COUNT);

    void add(long nowMs, boolean good) {
        Bucket bucket = bucketFor(nowMs / BUCKET_MS);
        (good ? bucket.good : bucket.bad).increment();
    }

    private Bucket bucketFor(long minute) {
        int slot = Math.floorMod(minute, BUCKET_COUNT);
        Bucket current = buckets.get(slot);
        while (current == null || current.minute < minute) {
            buckets.compareAndSet(slot, current, new Bucket(minute));
            current = buckets.get(slot);
        }
        return current;
    }

    EventCount count(long nowMs, long windowMs) {
        long lastMinute = nowMs / BUCKET_MS;
        long firstMinute = lastMinute - windowMs / BUCKET_MS + 1;
        long good = 0;
        long bad = 0;
        for (int i = 0; i < BUCKET_COUNT; i++) {
            Bucket bucket = buckets.get(i);
            if (bucket != null && bucket.minute >= firstMinute && bucket.minute <= lastMinute) {
                good += bucket.good.sum();
                bad += bucket.bad.sum();
            }
        }
        return new EventCount(good, bad);
    }

    private static final class Bucket {
        private final long minute;
        private final LongAdder good = new LongAdder();
        private final LongAdder bad = new LongAdder();

        Bucket(long minute) {
            this.minute = minute;
        }
    }
}
