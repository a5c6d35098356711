package io.sapphirestack.runtime.transport;

/**
 * Decoded frame.
 *
 * @param kind {@link #REQUEST}, {@link #REPLY} or {@link #ERROR}
 * @param requestId number that matches a reply to its request on one connection
 * @param typeCode code of the request's {@link PeerMessage}
 * @param body content as MessagePack map
 */
record PeerFrame(int kind, long requestId, int typeCode, byte[] body) {

    static final int REQUEST = 0;
    static final int REPLY = 1;
    static final int ERROR = 2;

    /** Largest frame without its length field, in bytes. */
    static final int MAX_BYTES = 8 * 1024 * 1024;
}
