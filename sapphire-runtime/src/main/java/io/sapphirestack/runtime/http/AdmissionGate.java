package io.sapphirestack.runtime.http;

import io.sapphirestack.core.blackboard.ConfigurationLease;
import io.sapphirestack.core.blackboard.Readiness;
import io.sapphirestack.core.error.Refusal;
import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.blackboard.Blackboard;
import java.util.concurrent.Semaphore;

/** Decides whether this instance takes new work now. Thread-safe. */
final class AdmissionGate {

    private static final String STEP = "admission";

    private final Blackboard blackboard;
    private final MillisClock clock;

    AdmissionGate(Blackboard blackboard, MillisClock clock) {
        this.blackboard = blackboard;
        this.clock = clock;
    }

    /** Requires that the instance admits work and that its configuration is in force. */
    void requireNewWork() throws RefusedException {
        requireNewRead(0);
    }

    /** As {@link #requireNewWork}, but with a configuration that may be stale for a time. */
    void requireNewRead(long staleLimitMs) throws RefusedException {
        requireAdmitting();
        if (!isFresh(staleLimitMs)) {
            throw new RefusedException(
                    Refusal.notExecuted(
                            503,
                            "configuration_stale",
                            STEP,
                            "The configuration could not be confirmed."));
        }
    }

    void requireAdmitting() throws RefusedException {
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

    boolean isFresh(long staleLimitMs) {
        ConfigurationLease lease = blackboard.configurationLease().read();
        return lease.isValidAt(clock.nowMs() - staleLimitMs);
    }

    boolean isReady() {
        return blackboard.readiness().read() == Readiness.READY && isFresh(0);
    }

    /** Takes one of a limited number of places, to be released by {@link Semaphore#release()}. */
    static void acquire(Semaphore places, String what) throws RefusedException {
        if (!places.tryAcquire()) {
            throw new RefusedException(
                    Refusal.notExecuted(
                            503, "overloaded", STEP, "Too many " + what + " are open here."));
        }
    }
}
