package io.sapphirestack.runtime.connection;

/** Limit on a part of a received HTTP message. The names appear in log events. */
public enum MessageLimit {

    /** Bytes of one line of a head, of chunk framing or of a trailer, or number of such lines. */
    LINE,

    /** Bytes of a head. */
    HEAD,

    /** Number of interim heads before a response. */
    INTERIM_HEADS,

    /** Bytes of a body. */
    BODY,

    /** Bytes of one event of a stream. */
    EVENT,

    /** Memory for the messages that the instance holds at the same time. */
    MEMORY
}
