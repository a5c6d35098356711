package io.sapphirestack.standins.engine;

import io.sapphirestack.core.error.SapphireException;

/** Root of the checked exceptions of the engine: work that was refused and does not run. */
final class EngineRefusal extends SapphireException {

    private static final long serialVersionUID = 1L;

    private final int status;
    private final String code;

    EngineRefusal(int status, String code) {
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
