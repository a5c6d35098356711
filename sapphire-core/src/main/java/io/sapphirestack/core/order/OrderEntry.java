package io.sapphirestack.core.order;

import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.core.id.OrderKey;
import java.util.List;
import java.util.Objects;

/**
 * Ledger entry of one order key.
 *
 * @param key idempotency key
 * @param phase phase of the key
 * @param bodyHash hash of the request body, empty if only a release was received
 * @param holder instance that holds the last reservation, {@code null} if only a release was
 *     received
 * @param nonce identifier of the last reservation
 * @param releasedNonces identifiers of the most recently released reservations, oldest first; these
 *     are never granted again
 * @param status HTTP status of the response, 0 unless the phase is {@link OrderPhase#DONE}
 * @param contentType media type of the response, empty if it has none or the order is not done
 * @param answer body of the response, empty unless the order is done; must not be modified
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

    /** Checks the components for {@code null} and copies the list. */
    public OrderEntry {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(phase, "phase");
        Objects.requireNonNull(bodyHash, "bodyHash");
        Objects.requireNonNull(nonce, "nonce");
        Objects.requireNonNull(answer, "answer");
        releasedNonces = List.copyOf(releasedNonces);
    }
}
