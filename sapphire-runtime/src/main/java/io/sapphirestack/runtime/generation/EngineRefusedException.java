package io.sapphirestack.runtime.generation;

import io.sapphirestack.runtime.error.ServiceException;

/** Thrown when an engine responds to a stream request with a status other than 200. */
final class EngineRefusedException extends ServiceException {

    private static final long serialVersionUID = 1L;

    private final int status;

    EngineRefusedException(String step, String peer, int status) {
        super(step, peer, "engine returned HTTP status " + status, null);
        this.status = status;
    }

    int status() {
        return status;
    }
}
