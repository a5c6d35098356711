package io.sapphirestack.runtime.relay;

/** Decides when a request may be placed, or refuses it. Implementations are thread-safe. */
@FunctionalInterface
interface RelayAdmission {

    /**
     * Waits until a request may be placed.
     *
     * @param request request that matched a route
     * @return admission of the request; the relay closes it when the request has ended
     * @throws RelayFailedException if the request is refused; its response says that it has not run
     * @throws CallerDisconnectedException if the caller closed its connection while it waited
     */
    Admission admit(RelayedRequest request)
            throws RelayFailedException, CallerDisconnectedException;

    /** Admission of one request. */
    interface Admission extends AutoCloseable {

        @Override
        void close();
    }
}
