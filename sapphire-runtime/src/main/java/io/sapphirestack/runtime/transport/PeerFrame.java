package io.sapphirestack.runtime.transport;

/**
 * Frame whose header fields are decoded and whose body is not.
 *
 * @param kind {@link #REQUEST}, {@link #REPLY} or {@link #ERROR}
 * @param requestId identifier that matches a reply to its request on one connection
 * @param typeCode code of the request's {@link PeerMessage}
 * @param body request, reply or {@link PeerError}, encoded as a MessagePack map
 */
record PeerFrame(int kind, long requestId, int typeCode, byte[] body) {

    static final int REQUEST = 0;
    static final int REPLY = 1;
    static final int ERROR = 2;

    /** Largest size of a frame without its length field, in bytes. */
    static final int MAX_BYTES = 8 * 1024 * 1024;
}
