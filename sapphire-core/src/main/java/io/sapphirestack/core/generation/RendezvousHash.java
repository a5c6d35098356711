package io.sapphirestack.core.generation;

import com.dynatrace.hash4j.hashing.Hashing;
import io.sapphirestack.core.id.InstanceId;
import java.util.Comparator;

/** Rendezvous (highest random weight) hashing; all instances compute the same order for a key. */
final class RendezvousHash {

    private RendezvousHash() {}

    static Comparator<InstanceId> comparatorFor(String key) {
        Comparator<InstanceId> byWeight =
                (a, b) -> Long.compareUnsigned(weight(key, b), weight(key, a));
        return byWeight.thenComparing(Comparator.naturalOrder());
    }

    private static long weight(String key, InstanceId id) {
        return Hashing.xxh3_64().hashCharsToLong(key + '\u0000' + id.value());
    }
}
