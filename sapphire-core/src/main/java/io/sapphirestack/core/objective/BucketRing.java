package io.sapphirestack.core.objective;

import java.util.concurrent.atomic.AtomicReferenceArray;
import java.util.concurrent.atomic.LongAdder;

/**
 * Good and bad events of the last six hours in buckets of one minute. Thread-safe without locks.
 */
final class BucketRing {

    private static final long BUCKET_MS = 60_000;
    private static final int SIZE =
            Math.toIntExact(BurnWindow.SIX_HOURS.lengthMs() / BUCKET_MS) + 1;

    private final AtomicReferenceArray<Bucket> buckets = new AtomicReferenceArray<>(SIZE);

    void add(long nowMs, boolean good) {
        Bucket bucket = bucketFor(nowMs / BUCKET_MS);
        (good ? bucket.good : bucket.bad).increment();
    }

    private Bucket bucketFor(long number) {
        int slot = Math.floorMod(number, SIZE);
        Bucket current = buckets.get(slot);
        while (current == null || current.number < number) {
            buckets.compareAndSet(slot, current, new Bucket(number));
            current = buckets.get(slot);
        }
        return current;
    }

    EventCount count(long nowMs, long windowMs) {
        long last = nowMs / BUCKET_MS;
        long first = last - windowMs / BUCKET_MS + 1;
        long good = 0;
        long bad = 0;
        for (int i = 0; i < SIZE; i++) {
            Bucket bucket = buckets.get(i);
            if (bucket != null && bucket.number >= first && bucket.number <= last) {
                good += bucket.good.sum();
                bad += bucket.bad.sum();
            }
        }
        return new EventCount(good, bad);
    }

    private static final class Bucket {
        private final long number;
        private final LongAdder good = new LongAdder();
        private final LongAdder bad = new LongAdder();

        Bucket(long number) {
            this.number = number;
        }
    }
}
