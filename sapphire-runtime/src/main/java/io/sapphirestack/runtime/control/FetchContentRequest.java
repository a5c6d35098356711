package io.sapphirestack.runtime.control;

import io.sapphirestack.core.control.RecordContent;
import io.sapphirestack.core.record.RecordKey;
import io.sapphirestack.runtime.transport.PeerMessage;
import io.sapphirestack.runtime.transport.PeerRequest;

/**
 * Asks another instance for a part of a content that is detached from its record. Parts are named
 * by the hash of the whole, so the next one may come from another instance.
 *
 * @param key key of the record
 * @param reference content that is wanted
 * @param offset offset of the first byte that is wanted
 */
@PeerMessage(code = 9, reply = FetchContentRequest.Part.class)
public record FetchContentRequest(RecordKey key, RecordContent.Reference reference, int offset)
        implements PeerRequest<FetchContentRequest.Part> {

    /**
     * Maximum size of a part, in bytes: 37 ms on a link of 7 Mbit/s, so that requests, probes and
     * votes never wait long behind one.
     */
    public static final int MAX_PART_BYTES = 32 * 1024;

    /**
     * Reply to a {@link FetchContentRequest}.
     *
     * @param held whether the instance holds this content; otherwise there are no bytes
     * @param bytes bytes from the offset on
     */
    public record Part(boolean held, byte[] bytes) {

        static final Part NOT_HELD = new Part(false, new byte[0]);
    }
}
