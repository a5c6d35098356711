package io.sapphirestack.runtime.relay;

import io.sapphirestack.runtime.error.ServiceException;

/** The caller closed its connection before it received a response. */
final class CallerDisconnectedException extends ServiceException {

    private static final long serialVersionUID = 1L;

    CallerDisconnectedException(String step) {
        super(step, "caller", "the caller closed its connection", null);
    }
}
