package io.sapphirestack.core.routing;

/** Permit to send work to an endpoint. The work counts as in flight until the permit is closed. */
public interface DispatchPermit extends AutoCloseable {

    /** Ends the work. Closing the permit again has no effect. */
    @Override
    void close();
}
