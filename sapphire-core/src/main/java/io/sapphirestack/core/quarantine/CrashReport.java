package io.sapphirestack.core.quarantine;

import java.util.BitSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Crash of an engine while a request waited for its first event there. Any shared part of the
 * prompt may be the cause until a later prompt with the same part is answered. Reports of the same
 * crash and prompt are merged, in any order and any number of times, with the same result.
 * Immutable.
 *
 * @param endpointHandle handle of the process that crashed
 * @param sentAtMs wall-clock time at which the prompt was sent to the engine, in milliseconds
 * @param observedAtMs wall-clock time at which an instance observed the crash, in milliseconds
 * @param parts handles of the shared parts of the prompt, and of the fingerprint of the request
 * @param clearedBits bit i is set if part i is not the cause
 */
public record CrashReport(
        int endpointHandle, long sentAtMs, long observedAtMs, List<Long> parts, short clearedBits) {

    /** Maximum number of parts; {@code clearedBits} has a bit for each. */
    static final int MAX_PARTS = Short.SIZE;

    /** Takes an immutable copy of the parts. */
    public CrashReport {
        parts = List.copyOf(parts);
    }

    /**
     * Identity of a report.
     *
     * @param endpointHandle handle of the process that crashed
     * @param parts handles of the shared parts of the prompt
     */
    record Key(int endpointHandle, List<Long> parts) {}

    Key key() {
        return new Key(endpointHandle, parts);
    }

    /** Returns the parts that may be the cause. */
    public Set<Long> suspects() {
        BitSet cleared = BitSet.valueOf(new long[] {Short.toUnsignedLong(clearedBits)});
        Set<Long> suspects = new LinkedHashSet<>();
        for (int i = 0; i < parts.size(); i++) {
            if (!cleared.get(i)) {
                suspects.add(parts.get(i));
            }
        }
        return suspects;
    }

    /** Returns this report without the suspicion of some parts. */
    CrashReport withCleared(Set<Long> answered) {
        int bits = clearedBits;
        for (int i = 0; i < parts.size(); i++) {
            if (answered.contains(parts.get(i))) {
                bits |= 1 << i;
            }
        }
        return new CrashReport(endpointHandle, sentAtMs, observedAtMs, parts, (short) bits);
    }

    /** Returns the combination with another report with the same key. */
    CrashReport mergedWith(CrashReport other) {
        return new CrashReport(
                endpointHandle,
                Math.min(sentAtMs, other.sentAtMs),
                Math.min(observedAtMs, other.observedAtMs),
                parts,
                (short) (clearedBits | other.clearedBits));
    }
}
