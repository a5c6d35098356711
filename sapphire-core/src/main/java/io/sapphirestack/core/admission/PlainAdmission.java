package io.sapphirestack.core.admission;

import io.sapphirestack.core.admission.ServiceCapacity.Estimate;
import java.util.Objects;
import java.util.function.DoubleSupplier;

/**
 * Decides whether a plain request is sent at once or refused, so that a full service works on
 * requests whose response is still worth most. Addresses load near and above the capacity of a
 * service: endpoints serve in the order of arrival, so without refusals each request waits so long
 * that it misses its target latency, and callers that return make the wait longer.
 *
 * <p>A request is sent if it will probably meet its target, or if a slot is free. Otherwise it is
 * late: it is refused, because it would delay others that can still be in time. A fixed share of
 * the late requests is sent nevertheless, so that a route whose target cannot be met, or endpoints
 * that state a wrong load, are still served. Stateless apart from its source of random numbers.
 */
public final class PlainAdmission {

    /** Share of late requests that are sent nevertheless. */
    static final double LATE_SHARE = 0.05;

    /** Shortest time after which a refused caller is asked to return, in milliseconds. */
    static final long MIN_RETRY_AFTER_MS = 100;

    /** Part of the time left that callers wait at most before they return. */
    static final double MAX_WAIT_PART = 1.0 / 3;

    private final DoubleSupplier random;

    /**
     * Creates a policy.
     *
     * @param random returns random numbers from 0 (inclusive) to 1 (exclusive)
     */
    public PlainAdmission(DoubleSupplier random) {
        this.random = Objects.requireNonNull(random, "random");
    }

    /** Decision about a request. */
    public enum Decision {
        /** The request is expected to meet its target latency, or a slot is free. */
        SEND,
        /** The request is late and belongs to the share that is sent nevertheless. */
        SEND_LATE,
        /** The request is late, and all slots are taken. */
        REFUSE_LATE,
        /** The request cannot end before its deadline. */
        REFUSE_HOPELESS;

        /** Returns whether the request is sent to an endpoint. */
        public boolean isSent() {
            return this == SEND || this == SEND_LATE;
        }
    }

    /**
     * Decides about a request.
     *
     * @param targetInMs time left until its target latency, in milliseconds; negative if passed
     * @param deadlineInMs time left until its deadline, in milliseconds
     * @param estimate expected service
     * @return decision
     */
    public Decision decide(long targetInMs, long deadlineInMs, Estimate estimate) {
        if (estimate.startInMs() <= 0 || estimate.endInMs() <= Math.min(targetInMs, deadlineInMs)) {
            return Decision.SEND;
        }
        if (random.getAsDouble() < LATE_SHARE) {
            return Decision.SEND_LATE;
        }
        return estimate.endInMs() > deadlineInMs ? Decision.REFUSE_HOPELESS : Decision.REFUSE_LATE;
    }

    /**
     * Returns when a refused caller should return: when the requests that wait at the endpoint with
     * the shortest wait have started, with jitter, but within the time that callers wait at most.
     *
     * @param deadlineInMs time left until its deadline, in milliseconds
     * @param estimate expected service
     * @return time in milliseconds, at least {@link #MIN_RETRY_AFTER_MS}
     */
    public long retryAfterMs(long deadlineInMs, Estimate estimate) {
        double drainedInMs = estimate.startInMs() * (1 + random.getAsDouble());
        return Math.max(
                MIN_RETRY_AFTER_MS, (long) Math.min(drainedInMs, deadlineInMs * MAX_WAIT_PART));
    }
}
