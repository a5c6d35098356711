package io.sapphirestack.standins.engine;

import io.sapphirestack.core.error.SapphireException;

/**
 * Thrown if the engine refuses a request, which is then never executed. Carries the HTTP status and
 * the machine-readable code of the response.
 */
final class EngineRefusalException extends SapphireException {

    private static final long serialVersionUID = 1L;

    private final int status;
    private final String code;

    EngineRefusalException(int status, String code) {
        super("admission", "local", code, null);
        this.status = status;
        this.code = code;
    }

    int status() {
        return status;
    }

    String code() {
        return code;
    }
}
