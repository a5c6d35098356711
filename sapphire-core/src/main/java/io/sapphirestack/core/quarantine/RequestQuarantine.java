package io.sapphirestack.core.quarantine;

import com.dynatrace.hash4j.hashing.Hashing;
import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.membership.MergedEndpointState;
import io.sapphirestack.core.time.MillisClock;
import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;

/**
 * Keeps a request away from endpoints if it crashes each one that runs it. Without a quarantine,
 * its retries, and its callers that send it again, end one endpoint after the other, together with
 * all requests that run there.
 *
 * <p>A request is identified by its {@link RequestFingerprint}. After its second crash it is
 * refused for {@value #FIRST_HOLD_MS} ms, because a sound request may also lose two endpoints in a
 * row. Then it is tried again, once by each instance at a different time; each further crash makes
 * the next hold much longer. One answer ends the quarantine everywhere. Thread-safe.
 */
public final class RequestQuarantine {

    /**
     * Time by which the reported send time of a retry is moved to later than the actual one, in
     * milliseconds. A retry may be sent within the millisecond of the crash that it follows; with
     * this margin it counts as later whatever the error of the two times.
     */
    static final long RETRY_MARGIN_MS = 2 * CrashAnalysis.MAX_TIME_ERROR_MS + 1;

    /** Number of crashes from which a request is refused. */
    static final int MIN_CRASHES = 2;

    /** Time for which a request is refused after its second crash, in milliseconds. */
    static final long FIRST_HOLD_MS = 5_000;

    /** Time for which a request is refused after its third crash, in milliseconds. */
    static final long SECOND_HOLD_MS = 120_000;

    /** Time for which a request is refused after each further crash, in milliseconds. */
    static final long MAX_HOLD_MS = 600_000;

    /**
     * Largest part of a hold by which one instance extends it. The instances end a hold one after
     * the other, so that the crash of a first trial is known to the others.
     */
    private static final double MAX_EXTENSION = 0.5;

    private final CrashHistoryTable histories;
    private final MillisClock wallClock;
    private final long instanceSeed;

    /**
     * Creates a quarantine.
     *
     * @param histories crash histories of all instances
     * @param wallClock wall clock, the same as that of the table
     * @param instanceSeed number that differs between instances
     */
    public RequestQuarantine(
            CrashHistoryTable histories, MillisClock wallClock, long instanceSeed) {
        this.histories = Objects.requireNonNull(histories, "histories");
        this.wallClock = Objects.requireNonNull(wallClock, "wallClock");
        this.instanceSeed = instanceSeed;
    }

    /**
     * Returns the send time of an attempt that is reported if its endpoint crashes. That of a retry
     * is {@value #RETRY_MARGIN_MS} ms later than the actual one, so that it is later than the crash
     * that the retry follows also if both are in the same millisecond.
     *
     * @param sentAtMs time at which the attempt was sent, in milliseconds of any clock
     * @param isRetry whether an earlier attempt of the same request was sent and failed
     * @return time to report, in milliseconds of the same clock
     */
    public static long reportedSentAtMs(long sentAtMs, boolean isRetry) {
        return isRetry ? sentAtMs + RETRY_MARGIN_MS : sentAtMs;
    }

    /**
     * Records that an endpoint crashed while it ran a request.
     *
     * @param endpoint identifier of the endpoint
     * @param epochMs start time of its process, in milliseconds
     * @param request fingerprint of the request
     * @param waitedMs time since the {@linkplain #reportedSentAtMs reported} send time, in
     *     milliseconds; negative if a retry fails at once
     */
    public void recordCrash(
            EndpointId endpoint, long epochMs, RequestFingerprint request, long waitedMs) {
        long nowMs = wallClock.nowMs();
        CrashHistory.Crash crash =
                new CrashHistory.Crash(
                        MergedEndpointState.handleOf(endpoint, epochMs), nowMs - waitedMs, nowMs);
        histories.merge(List.of(new CrashHistory(request.handle(), 0, List.of(crash))));
    }

    /**
     * Records that an endpoint has answered a request, which clears it of suspicion.
     *
     * @param request fingerprint of the request
     * @return whether it was suspected
     */
    public boolean recordAnswer(RequestFingerprint request) {
        return histories.recordAnswer(request.handle());
    }

    /**
     * Returns how long a request must not be sent to endpoints.
     *
     * @param request fingerprint of the request
     * @return remaining time in milliseconds, positive; empty if the request may be sent
     */
    public OptionalLong remainingMs(RequestFingerprint request) {
        if (histories.version() == 0) {
            return OptionalLong.empty();
        }
        return histories
                .find(request.handle())
                .map(this::remainingMs)
                .filter(remainingMs -> remainingMs > 0)
                .map(OptionalLong::of)
                .orElse(OptionalLong.empty());
    }

    private long remainingMs(CrashHistory history) {
        long holdMs = holdMs(history.suspicion());
        long extensionMs = (long) (holdMs * MAX_EXTENSION * instanceShare(history.fingerprint()));
        return history.lastCrashAtMs() + holdMs + extensionMs - wallClock.nowMs();
    }

    private static long holdMs(int crashes) {
        if (crashes < MIN_CRASHES) {
            return 0;
        }
        if (crashes == MIN_CRASHES) {
            return FIRST_HOLD_MS;
        }
        return crashes == MIN_CRASHES + 1 ? SECOND_HOLD_MS : MAX_HOLD_MS;
    }

    /** Returns a number from 0 to 1 that differs between instances and fingerprints. */
    private double instanceShare(long fingerprint) {
        long hash =
                Hashing.xxh3_64()
                        .hashStream()
                        .putLong(instanceSeed)
                        .putLong(fingerprint)
                        .getAsLong();
        return (hash >>> 1) / (double) Long.MAX_VALUE;
    }

    /** Returns the number of requests that are refused now. */
    public int size() {
        return (int)
                histories.changedSince(0).stream()
                        .filter(history -> holdMs(history.suspicion()) > 0)
                        .filter(history -> remainingMs(history) > 0)
                        .count();
    }
}
