package io.sapphirestack.core.quarantine;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Fingerprints of the requests that endpoints answered last, with the times of the answers. They
 * tell apart, when endpoints crash, popular requests and those that nobody has answered yet.
 * Thread-safe.
 */
final class RecentAnswers {

    /** Maximum number of fingerprints; the oldest are removed first. */
    static final int MAX_ANSWERS = 2_048;

    /** Time for which an answer speaks for later requests with its fingerprint, in milliseconds. */
    static final long RETENTION_MS = 60_000;

    private final Map<Long, Long> answeredAtMs =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
                    return size() > MAX_ANSWERS;
                }
            };

    synchronized void add(long fingerprint, long nowMs) {
        answeredAtMs.remove(fingerprint);
        answeredAtMs.put(fingerprint, nowMs);
    }

    /** Returns the time of the last answer in milliseconds, 0 if there is no recent one. */
    synchronized long lastAnswerAtMs(long fingerprint, long nowMs) {
        long lastMs = answeredAtMs.getOrDefault(fingerprint, 0L);
        return lastMs >= nowMs - RETENTION_MS ? lastMs : 0;
    }
}
