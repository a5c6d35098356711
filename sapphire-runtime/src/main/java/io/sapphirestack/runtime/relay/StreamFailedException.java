package io.sapphirestack.runtime.relay;

import io.sapphirestack.runtime.error.ServiceException;

/** A stream failed and cannot continue at another endpoint. */
final class StreamFailedException extends ServiceException {

    private static final long serialVersionUID = 1L;

    private final transient RelayResponse response;

    StreamFailedException(String peer, RelayResponse response) {
        super("stream", peer, "the stream cannot continue at another endpoint", null);
        this.response = response;
    }

    /** Returns the response for a caller that has not received an event yet. */
    RelayResponse response() {
        return response;
    }
}
