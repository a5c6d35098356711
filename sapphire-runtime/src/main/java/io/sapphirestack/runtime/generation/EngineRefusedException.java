package io.sapphirestack.runtime.generation;

import io.sapphirestack.runtime.error.ServiceException;

/** An engine answered a request about a stream with an error status. */
final class EngineRefusedException extends ServiceException {

    private static final long serialVersionUID = 1L;

    private final int status;

    EngineRefusedException(String step, String peer, int status) {
        super(step, peer, "engine answered " + status, null);
        this.status = status;
    }

    int status() {
        return status;
    }
}
