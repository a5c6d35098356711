package io.sapphirestack.runtime.relay;

import io.sapphirestack.runtime.error.ServiceException;

/** A stream cannot continue at any endpoint. */
final class StreamEndedException extends ServiceException {

    private static final long serialVersionUID = 1L;

    private final transient Reply reply;

    StreamEndedException(String peer, Reply reply) {
        super("stream", peer, "no endpoint continues the stream", null);
        this.reply = reply;
    }

    /** Returns the answer for a caller that has not received an event. */
    Reply reply() {
        return reply;
    }
}
