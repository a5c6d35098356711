package io.sapphirestack.core.relay;

/**
 * Decides when the standby copy of a running stream is checked, renewed and replaced.
 *
 * <p>The engine that runs a stream sends its state to the holder of the first copy by itself, but
 * nobody replaces a copy whose holder is lost. Where the engines of an availability zone fail every
 * few seconds, most streams that run for longer lose their copy before their own engine, and the
 * whole prompt has to be prefilled again. A lost copy is therefore replaced by one that the engine
 * makes on order. Such a copy expires, so it is renewed; a renewal transfers only what is new. Used
 * by one thread at a time.
 */
public final class StandbyCopyState {

    /**
     * Interval between checks whether the holder of a copy accepts connections, in milliseconds. An
     * engine that crashed may accept connections again after about a second, without its copies.
     */
    static final long HOLDER_CHECK_INTERVAL_MS = 500;

    /** Interval between renewals of a copy that was made on order, in milliseconds. */
    static final long RENEWAL_INTERVAL_MS = 1_000;

    /** Interval between orders for a copy while none exists, in milliseconds. */
    static final long ORDER_INTERVAL_MS = 250;

    /** Fraction of its lifetime for which an ordered copy is used without a renewal. */
    static final double USABLE_LIFETIME_FRACTION = 0.9;

    private final long orderedLifetimeMs;
    private Kind kind = Kind.NONE;
    private long confirmedAtMs;
    private long orderedAtMs = Long.MIN_VALUE / 2;

    private enum Kind {
        NONE,
        AUTOMATIC,
        ORDERED
    }

    /** What to do next for a standby copy. */
    public enum Action {

        /** Nothing is due. */
        NONE,

        /** Check whether the holder of the copy accepts connections. */
        CHECK_HOLDER,

        /** Renew the copy at its holder. */
        RENEW,

        /** Order a copy at another endpoint. */
        REPLACE
    }

    /**
     * Creates the state of a stream without a copy.
     *
     * @param orderedLifetimeMs time for which an endpoint keeps a copy that was made on order, in
     *     milliseconds; 0 if copies cannot be ordered
     */
    public StandbyCopyState(long orderedLifetimeMs) {
        this.orderedLifetimeMs = orderedLifetimeMs;
    }

    /**
     * Records that the engine has begun to keep a copy at a holder by itself.
     *
     * @param nowMs current time on the monotonic clock, in milliseconds
     */
    public void recordAutomatic(long nowMs) {
        kind = Kind.AUTOMATIC;
        confirmedAtMs = nowMs;
    }

    /**
     * Records that an order is being sent.
     *
     * @param nowMs current time on the monotonic clock, in milliseconds
     */
    public void recordOrder(long nowMs) {
        orderedAtMs = nowMs;
    }

    /**
     * Records that a copy on order is complete.
     *
     * @param orderedAtMs time at which the order was sent, on the monotonic clock, in milliseconds
     */
    public void recordOrdered(long orderedAtMs) {
        kind = Kind.ORDERED;
        confirmedAtMs = orderedAtMs;
    }

    /**
     * Records that the holder accepts connections.
     *
     * @param nowMs current time on the monotonic clock, in milliseconds
     */
    public void recordHolderReachable(long nowMs) {
        if (kind == Kind.AUTOMATIC) {
            confirmedAtMs = nowMs;
        }
    }

    /** Records that there is no copy, or that its holder is lost. */
    public void recordLost() {
        kind = Kind.NONE;
    }

    /**
     * Returns whether a stream can continue from the copy.
     *
     * @param nowMs current time on the monotonic clock, in milliseconds
     * @return whether a copy exists that has not expired
     */
    public boolean isUsable(long nowMs) {
        return switch (kind) {
            case NONE -> false;
            case AUTOMATIC -> true;
            case ORDERED -> nowMs - confirmedAtMs < orderedLifetimeMs * USABLE_LIFETIME_FRACTION;
        };
    }

    /**
     * Returns what is due.
     *
     * @param nowMs current time on the monotonic clock, in milliseconds
     * @return action, {@link Action#NONE} if nothing is due or copies cannot be ordered
     */
    public Action next(long nowMs) {
        if (orderedLifetimeMs <= 0) {
            return Action.NONE;
        }
        if (!isUsable(nowMs)) {
            return due(nowMs - orderedAtMs >= ORDER_INTERVAL_MS, Action.REPLACE);
        }
        if (kind == Kind.AUTOMATIC) {
            return due(nowMs - confirmedAtMs >= HOLDER_CHECK_INTERVAL_MS, Action.CHECK_HOLDER);
        }
        long lastMs = Math.max(confirmedAtMs, orderedAtMs);
        return due(nowMs - lastMs >= RENEWAL_INTERVAL_MS, Action.RENEW);
    }

    private static Action due(boolean isDue, Action action) {
        return isDue ? action : Action.NONE;
    }
}
