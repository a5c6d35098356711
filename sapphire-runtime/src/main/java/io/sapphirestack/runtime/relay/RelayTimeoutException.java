package io.sapphirestack.runtime.relay;

import io.sapphirestack.runtime.error.ServiceException;

/** The deadline of a request has passed. */
final class RelayTimeoutException extends ServiceException {

    private static final long serialVersionUID = 1L;

    RelayTimeoutException(String step, String peer) {
        super(step, peer, "the deadline of the request has passed", null);
    }
}
