package io.sapphirestack.runtime.relay;

import io.sapphirestack.runtime.error.ServiceException;

/** A request failed and cannot continue at another endpoint. */
final class RelayFailedException extends ServiceException {

    private static final long serialVersionUID = 1L;

    private final transient RelayResponse response;

    RelayFailedException(String peer, RelayResponse response) {
        super("relay", peer, "the request cannot continue at another endpoint", null);
        this.response = response;
    }

    /** Returns the response for a caller that has not received an event yet. */
    RelayResponse response() {
        return response;
    }
}
