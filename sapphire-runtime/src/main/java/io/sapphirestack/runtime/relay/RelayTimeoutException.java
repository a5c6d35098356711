package io.sapphirestack.runtime.relay;

import io.sapphirestack.runtime.error.ServiceException;

/** The time of a request is over. */
final class RelayTimeoutException extends ServiceException {

    private static final long serialVersionUID = 1L;

    RelayTimeoutException(String step, String peer) {
        super(step, peer, "the time of the request is over", null);
    }
}
