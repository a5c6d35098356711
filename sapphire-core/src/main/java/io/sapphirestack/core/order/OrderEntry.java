package io.sapphirestack.core.order;

import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.core.id.OrderKey;
import java.util.List;
import java.util.Objects;

/**
 * State of one order key.
 *
 * @param key idempotency key
 * @param phase state of the key
 * @param bodyHash hash of the request body, empty if only a release is known
 * @param holder instance of the last reservation, {@code null} if only a release is known
 * @param nonce identifier of the last reservation
 * @param releasedNonces most recent reservations that were released; they are never granted again
 * @param status HTTP status of the answer, 0 unless done
 * @param contentType media type of the answer, empty unless done
 * @param answer body of the answer, empty unless done; treated as immutable
 * @param changedMs time of the last change in milliseconds since the Unix epoch
 */
public record OrderEntry(
        OrderKey key,
        OrderPhase phase,
        String bodyHash,
        InstanceRef holder,
        String nonce,
        List<String> releasedNonces,
        int status,
        String contentType,
        byte[] answer,
        long changedMs) {

    /** Checks the components. */
    public OrderEntry {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(phase, "phase");
        Objects.requireNonNull(bodyHash, "bodyHash");
        Objects.requireNonNull(nonce, "nonce");
        Objects.requireNonNull(answer, "answer");
        releasedNonces = List.copyOf(releasedNonces);
    }
}
