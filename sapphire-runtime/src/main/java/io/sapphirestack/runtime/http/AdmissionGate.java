package io.sapphirestack.runtime.http;

import io.sapphirestack.core.blackboard.ConfigurationLease;
import io.sapphirestack.core.blackboard.Readiness;
import io.sapphirestack.core.error.Refusal;
import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.blackboard.Blackboard;
import java.util.concurrent.Semaphore;

/** Decides whether this instance currently admits requests. Thread-safe. */
final class AdmissionGate {

    private static final String STEP = "admission";

    private final Blackboard blackboard;
    private final MillisClock clock;

    AdmissionGate(Blackboard blackboard, MillisClock clock) {
        this.blackboard = blackboard;
        this.clock = clock;
    }

    /**
     * Refuses the request unless the instance admits requests and its configuration lease is valid.
     */
    void requireAdmission() throws RefusedException {
        requireReadAdmission(0);
    }

    /**
     * As {@link #requireAdmission}, but accepts a configuration lease that has expired.
     *
     * @param staleLimitMs longest time since the expiry, in milliseconds
     */
    void requireReadAdmission(long staleLimitMs) throws RefusedException {
        requireAdmittingReadiness();
        if (!isLeaseValid(staleLimitMs)) {
            throw new RefusedException(
                    Refusal.notExecuted(
                            503,
                            "configuration_stale",
                            STEP,
                            "The configuration of this instance is not confirmed."));
        }
    }

    void requireAdmittingReadiness() throws RefusedException {
        Readiness readiness = blackboard.readiness().read();
        if (!readiness.admitsRequests()) {
            throw new RefusedException(
                    Refusal.notExecuted(
                            503,
                            "not_ready",
                            STEP,
                            readiness == Readiness.STARTING
                                    ? "This instance is starting."
                                    : "This instance is stopping."));
        }
    }

    boolean isLeaseValid(long staleLimitMs) {
        ConfigurationLease lease = blackboard.configurationLease().read();
        return lease.isValidAt(clock.nowMs() - staleLimitMs);
    }

    boolean isReady() {
        return blackboard.readiness().read() == Readiness.READY && isLeaseValid(0);
    }

    /** Acquires a permit, to be released by {@link Semaphore#release()}, or refuses the request. */
    static void acquirePermit(Semaphore permits, String requestType) throws RefusedException {
        if (!permits.tryAcquire()) {
            throw new RefusedException(
                    Refusal.notExecuted(
                            503,
                            "overloaded",
                            STEP,
                            "This instance has reached its limit of open " + requestType + "."));
        }
    }
}
