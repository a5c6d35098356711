package io.sapphirestack.http;

import java.io.IOException;

/** A received head is not one of an HTTP/1.1 message. The message contains no octet of it. */
public final class MalformedHeadException extends IOException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message what is wrong with the head
     */
    public MalformedHeadException(String message) {
        super(message);
    }
}
