package io.sapphirestack.core.routing;

/** Permission to send one piece of work to an endpoint; counts as in flight until it is closed. */
public interface DispatchPermit extends AutoCloseable {

    @Override
    void close();
}
