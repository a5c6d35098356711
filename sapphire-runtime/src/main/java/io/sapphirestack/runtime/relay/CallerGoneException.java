package io.sapphirestack.runtime.relay;

import io.sapphirestack.runtime.error.ServiceException;

/** The caller closed its connection before its request was answered. */
final class CallerGoneException extends ServiceException {

    private static final long serialVersionUID = 1L;

    CallerGoneException(String step) {
        super(step, "caller", "the caller has left", null);
    }
}
