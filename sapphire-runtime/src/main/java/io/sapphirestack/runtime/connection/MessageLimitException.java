package io.sapphirestack.runtime.connection;

import java.io.IOException;
import java.util.Locale;

/** A received message exceeds a limit. */
public final class MessageLimitException extends IOException {

    private static final long serialVersionUID = 1L;

    private final MessageLimit limit;

    /**
     * Creates an exception.
     *
     * @param limit exceeded limit
     * @param maximum its value: bytes, or a count for {@link MessageLimit#INTERIM_HEADS}
     */
    public MessageLimitException(MessageLimit limit, long maximum) {
        super(
                "the message exceeds the limit "
                        + limit.name().toLowerCase(Locale.ROOT)
                        + " of "
                        + maximum);
        this.limit = limit;
    }

    /** Returns the exceeded limit. */
    public MessageLimit limit() {
        return limit;
    }
}
