package io.sapphirestack.core.relay;

/**
 * Service of a traffic plan.
 *
 * @param name unique name within the plan
 * @param keepsStandbyCopies whether its endpoints keep standby copies of streams that run at other
 *     endpoints of the service
 * @param orderedCopyLifetimeMs time for which an endpoint keeps a copy that was made on order, in
 *     milliseconds; 0 if its endpoints make no copies on order
 */
public record RelayedService(String name, boolean keepsStandbyCopies, long orderedCopyLifetimeMs) {

    /**
     * Creates a service whose endpoints make no copies on order.
     *
     * @param name unique name within the plan
     * @param keepsStandbyCopies whether its endpoints keep standby copies of streams that run at
     *     other endpoints of the service
     */
    public RelayedService(String name, boolean keepsStandbyCopies) {
        this(name, keepsStandbyCopies, 0);
    }

    /** Returns whether a standby copy whose holder is lost can be replaced by a new one. */
    public boolean replacesStandbyCopies() {
        return keepsStandbyCopies && orderedCopyLifetimeMs > 0;
    }
}
