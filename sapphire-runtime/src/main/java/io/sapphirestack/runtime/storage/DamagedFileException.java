package io.sapphirestack.runtime.storage;

import java.io.IOException;

/**
 * Thrown if the content of a file is not what this store wrote. Unlike another failure of a disk it
 * does not pass by itself.
 */
final class DamagedFileException extends IOException {

    private static final long serialVersionUID = 1L;

    DamagedFileException(String message) {
        super(message);
    }

    DamagedFileException(String message, Throwable cause) {
        super(message, cause);
    }
}
