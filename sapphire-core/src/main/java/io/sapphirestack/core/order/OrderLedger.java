package io.sapphirestack.core.order;

import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.core.id.OrderKey;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Reservations and outcomes of orders by idempotency key. At most one reservation of a key is in
 * force at a time. It stays in force until its holder releases it or its outcome is recorded, or
 * until the entry expires.
 *
 * <p>Deterministic: the same calls in the same order lead to the same state. The times passed in
 * must not decrease. Not thread-safe.
 */
public final class OrderLedger {

    /** Time after its last change for which an entry is retained, in milliseconds. */
    public static final long RETENTION_MS = 24 * 3_600_000L;

    /** Default maximum number of entries. */
    public static final int MAX_KEYS = 200_000;

    /**
     * Default total size of the stored responses in bytes from which on no further key is reserved.
     * Limits the memory and the snapshots of a voter.
     */
    public static final long MAX_RESPONSE_BYTES = 64L * 1024 * 1024;

    /**
     * Maximum number of released nonces in an entry. Older ones can be dropped, because a
     * reservation is only resent for a few seconds.
     */
    private static final int MAX_RELEASED_NONCES = 16;

    private static final byte[] NO_RESPONSE = {};

    private final int maxKeys;
    private final long maxResponseBytes;

    /** Entries in the order of their last change, so that expired ones come first. */
    private final Map<OrderKey, OrderEntry> entries = new LinkedHashMap<>();

    private long responseBytes;

    /** Creates an empty ledger with the default bounds. */
    public OrderLedger() {
        this(MAX_KEYS, MAX_RESPONSE_BYTES);
    }

    /**
     * Creates an empty ledger.
     *
     * @param maxKeys maximum number of entries
     * @param maxResponseBytes total size of the stored responses in bytes from which on no further
     *     key is reserved
     */
    public OrderLedger(int maxKeys, long maxResponseBytes) {
        this.maxKeys = maxKeys;
        this.maxResponseBytes = maxResponseBytes;
    }

    /**
     * Reserves a key. A nonce that is resent is granted again only while its reservation is in
     * force, so that a delayed duplicate does not reinstate a released reservation.
     *
     * @param key idempotency key
     * @param bodyHash hash of the request body
     * @param holder instance that will dispatch the order
     * @param nonce random identifier of the reservation
     * @param nowMs current time in milliseconds since the Unix epoch
     * @return {@link OrderLedgerResult.Granted}, or the reason why the key was not reserved
     */
    public OrderLedgerResult reserve(
            OrderKey key, String bodyHash, InstanceRef holder, String nonce, long nowMs) {
        Objects.requireNonNull(bodyHash, "bodyHash");
        Objects.requireNonNull(holder, "holder");
        Objects.requireNonNull(nonce, "nonce");
        removeExpired(nowMs);
        OrderEntry entry = entries.get(key);
        if (entry == null) {
            if (isFull()) {
                return new OrderLedgerResult.LedgerFull();
            }
            put(reserved(key, bodyHash, holder, nonce, List.of(), nowMs));
            return new OrderLedgerResult.Granted(nonce);
        }
        if (entry.releasedNonces().contains(nonce)) {
            return new OrderLedgerResult.Released(entry.bodyHash());
        }
        if (!entry.bodyHash().isEmpty() && !entry.bodyHash().equals(bodyHash)) {
            return new OrderLedgerResult.KeyReused();
        }
        if (entry.phase() == OrderPhase.RESERVED && entry.nonce().equals(nonce)) {
            return new OrderLedgerResult.Granted(nonce);
        }
        if (entry.phase() != OrderPhase.RELEASED) {
            return stateOf(entry);
        }
        put(reserved(key, bodyHash, holder, nonce, entry.releasedNonces(), nowMs));
        return new OrderLedgerResult.Granted(nonce);
    }

    /**
     * Releases a reservation whose order was not executed. The release of an unknown reservation is
     * stored as well, because the reservation may still be in flight.
     *
     * @param key idempotency key
     * @param nonce identifier of the reservation
     * @param nowMs current time in milliseconds since the Unix epoch
     * @return state of the key after the call, or {@link OrderLedgerResult.LedgerFull}
     */
    public OrderLedgerResult release(OrderKey key, String nonce, long nowMs) {
        Objects.requireNonNull(nonce, "nonce");
        removeExpired(nowMs);
        OrderEntry entry = entries.get(key);
        if (entry == null) {
            if (isFull()) {
                return new OrderLedgerResult.LedgerFull();
            }
            entry = reserved(key, "", null, nonce, List.of(), nowMs);
        } else if (entry.releasedNonces().contains(nonce)) {
            return stateOf(entry);
        }
        boolean inForce = entry.phase() == OrderPhase.RESERVED && entry.nonce().equals(nonce);
        OrderEntry next =
                new OrderEntry(
                        key,
                        inForce ? OrderPhase.RELEASED : entry.phase(),
                        entry.bodyHash(),
                        entry.holder(),
                        entry.nonce(),
                        entry.phase() == OrderPhase.DONE && entry.nonce().equals(nonce)
                                ? entry.releasedNonces()
                                : withNonce(entry.releasedNonces(), nonce),
                        entry.status(),
                        entry.contentType(),
                        entry.answer(),
                        nowMs);
        put(next);
        return stateOf(next);
    }

    /**
     * Records the outcome of an order. It is ignored unless the reservation is in force; an outcome
     * that was recorded earlier is never replaced.
     *
     * @param key idempotency key
     * @param nonce identifier of the reservation
     * @param status HTTP status of the response
     * @param contentType media type of the response, {@code null} for none
     * @param responseBody body of the response, {@code null} for none; must not be modified
     *     afterwards
     * @param nowMs current time in milliseconds since the Unix epoch
     * @return state of the key after the call
     */
    public OrderLedgerResult complete(
            OrderKey key,
            String nonce,
            int status,
            String contentType,
            byte[] responseBody,
            long nowMs) {
        removeExpired(nowMs);
        OrderEntry entry = entries.get(key);
        if (entry == null) {
            return new OrderLedgerResult.NotFound();
        }
        if (entry.phase() != OrderPhase.RESERVED || !entry.nonce().equals(nonce)) {
            return stateOf(entry);
        }
        OrderEntry next =
                new OrderEntry(
                        key,
                        OrderPhase.DONE,
                        entry.bodyHash(),
                        entry.holder(),
                        nonce,
                        entry.releasedNonces(),
                        status,
                        contentType == null ? "" : contentType,
                        responseBody == null ? NO_RESPONSE : responseBody,
                        nowMs);
        put(next);
        return stateOf(next);
    }

    /**
     * Returns the state of a key.
     *
     * @param key idempotency key
     * @param nowMs current time in milliseconds since the Unix epoch
     * @return state of the key, {@link OrderLedgerResult.NotFound} if it has no entry
     */
    public OrderLedgerResult read(OrderKey key, long nowMs) {
        removeExpired(nowMs);
        return Optional.ofNullable(entries.get(key))
                .map(OrderLedger::stateOf)
                .orElseGet(OrderLedgerResult.NotFound::new);
    }

    /** Returns the number of entries, including expired ones that are not removed yet. */
    public int size() {
        return entries.size();
    }

    /** Returns all entries in the order of their last change. */
    public List<OrderEntry> entries() {
        return List.copyOf(entries.values());
    }

    /**
     * Replaces all entries by those of a snapshot.
     *
     * @param restored entries in the order of their last change
     */
    public void restore(Collection<OrderEntry> restored) {
        entries.clear();
        responseBytes = 0;
        restored.forEach(this::put);
    }

    private static OrderLedgerResult stateOf(OrderEntry entry) {
        return switch (entry.phase()) {
            case RESERVED -> new OrderLedgerResult.Reserved(entry);
            case RELEASED -> new OrderLedgerResult.Released(entry.bodyHash());
            case DONE -> new OrderLedgerResult.Done(entry);
        };
    }

    private static OrderEntry reserved(
            OrderKey key,
            String bodyHash,
            InstanceRef holder,
            String nonce,
            List<String> releasedNonces,
            long nowMs) {
        return new OrderEntry(
                key,
                OrderPhase.RESERVED,
                bodyHash,
                holder,
                nonce,
                releasedNonces,
                0,
                "",
                NO_RESPONSE,
                nowMs);
    }

    private static List<String> withNonce(List<String> nonces, String nonce) {
        List<String> next = new ArrayList<>(nonces);
        next.add(nonce);
        return next.size() > MAX_RELEASED_NONCES ? next.subList(1, next.size()) : next;
    }

    private boolean isFull() {
        return entries.size() >= maxKeys || responseBytes >= maxResponseBytes;
    }

    private void put(OrderEntry entry) {
        OrderEntry previous = entries.remove(entry.key());
        responseBytes += entry.answer().length - (previous == null ? 0 : previous.answer().length);
        entries.put(entry.key(), entry);
    }

    private void removeExpired(long nowMs) {
        Iterator<OrderEntry> iterator = entries.values().iterator();
        while (iterator.hasNext()) {
            OrderEntry entry = iterator.next();
            if (nowMs - entry.changedMs() < RETENTION_MS) {
                return;
            }
            responseBytes -= entry.answer().length;
            iterator.remove();
        }
    }
}
