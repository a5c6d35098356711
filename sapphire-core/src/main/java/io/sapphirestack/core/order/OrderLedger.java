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
 * Reservations and outcomes of orders. At most one reservation of a key is in force; it ends only
 * by a release from its holder or by an outcome.
 *
 * <p>Deterministic: equal calls in equal order give equal states. Times never decrease. Not
 * thread-safe.
 */
public final class OrderLedger {

    /** Time for which a key is known after its last change, in milliseconds. */
    public static final long RETENTION_MS = 24 * 3_600_000L;

    /** Keys that are kept at most. */
    public static final int MAX_KEYS = 200_000;

    /** Bytes of answers above which no key is reserved; bounds memory and snapshots of a voter. */
    public static final long MAX_ANSWER_BYTES = 64L * 1024 * 1024;

    /** A client retries one reservation for seconds only, so old releases need not be kept. */
    private static final int MAX_RELEASED_NONCES = 16;

    private static final byte[] NO_ANSWER = {};

    private final int maxKeys;
    private final long maxAnswerBytes;

    /** In order of the last change, so that expired keys are at the front. */
    private final Map<OrderKey, OrderEntry> entries = new LinkedHashMap<>();

    private long answerBytes;

    /** Creates an empty ledger with the default bounds. */
    public OrderLedger() {
        this(MAX_KEYS, MAX_ANSWER_BYTES);
    }

    /**
     * Creates an empty ledger.
     *
     * @param maxKeys keys that are kept at most
     * @param maxAnswerBytes bytes of answers above which no key is reserved
     */
    public OrderLedger(int maxKeys, long maxAnswerBytes) {
        this.maxKeys = maxKeys;
        this.maxAnswerBytes = maxAnswerBytes;
    }

    /**
     * Reserves a key. A repeated nonce is granted only while its reservation is in force, so that a
     * delayed duplicate never revives a released reservation.
     *
     * @param key idempotency key
     * @param bodyHash hash of the request body
     * @param holder instance that will dispatch the order
     * @param nonce random identifier of the reservation
     * @param nowMs current time in milliseconds
     * @return a grant, or the state that prevents it
     */
    public OrderOutcome reserve(
            OrderKey key, String bodyHash, InstanceRef holder, String nonce, long nowMs) {
        Objects.requireNonNull(bodyHash, "bodyHash");
        Objects.requireNonNull(holder, "holder");
        Objects.requireNonNull(nonce, "nonce");
        removeExpired(nowMs);
        OrderEntry entry = entries.get(key);
        if (entry == null) {
            if (isFull()) {
                return new OrderOutcome.LedgerFull();
            }
            put(reserved(key, bodyHash, holder, nonce, List.of(), nowMs));
            return new OrderOutcome.Granted(nonce);
        }
        if (entry.releasedNonces().contains(nonce)) {
            return new OrderOutcome.Released(entry.bodyHash());
        }
        if (!entry.bodyHash().isEmpty() && !entry.bodyHash().equals(bodyHash)) {
            return new OrderOutcome.KeyReused();
        }
        if (entry.phase() == OrderPhase.RESERVED && entry.nonce().equals(nonce)) {
            return new OrderOutcome.Granted(nonce);
        }
        if (entry.phase() != OrderPhase.RELEASED) {
            return stateOf(entry);
        }
        put(reserved(key, bodyHash, holder, nonce, entry.releasedNonces(), nowMs));
        return new OrderOutcome.Granted(nonce);
    }

    /**
     * Ends a reservation whose order did not run. The release of a reservation that is not known is
     * remembered, because the reservation may still be under way.
     *
     * @param key idempotency key
     * @param nonce identifier of the reservation
     * @param nowMs current time in milliseconds
     * @return the state of the key afterwards
     */
    public OrderOutcome release(OrderKey key, String nonce, long nowMs) {
        Objects.requireNonNull(nonce, "nonce");
        removeExpired(nowMs);
        OrderEntry entry = entries.get(key);
        if (entry == null) {
            if (isFull()) {
                return new OrderOutcome.LedgerFull();
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
     * Records the outcome of a reserved order. An outcome that is known already is kept.
     *
     * @param key idempotency key
     * @param nonce identifier of the reservation
     * @param status HTTP status of the answer
     * @param contentType media type of the answer
     * @param answer body of the answer
     * @param nowMs current time in milliseconds
     * @return the state of the key afterwards
     */
    public OrderOutcome complete(
            OrderKey key, String nonce, int status, String contentType, byte[] answer, long nowMs) {
        removeExpired(nowMs);
        OrderEntry entry = entries.get(key);
        if (entry == null) {
            return new OrderOutcome.NotFound();
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
                        answer == null ? NO_ANSWER : answer,
                        nowMs);
        put(next);
        return stateOf(next);
    }

    /**
     * Reads the state of a key.
     *
     * @param key idempotency key
     * @param nowMs current time in milliseconds
     * @return the state
     */
    public OrderOutcome read(OrderKey key, long nowMs) {
        removeExpired(nowMs);
        return Optional.ofNullable(entries.get(key))
                .map(OrderLedger::stateOf)
                .orElseGet(OrderOutcome.NotFound::new);
    }

    /** Returns the number of keys that are kept. */
    public int size() {
        return entries.size();
    }

    /** Returns all entries in the order of their last change. */
    public List<OrderEntry> entries() {
        return List.copyOf(entries.values());
    }

    /**
     * Replaces the content, for a restore.
     *
     * @param restored entries in the order of their last change
     */
    public void restore(Collection<OrderEntry> restored) {
        entries.clear();
        answerBytes = 0;
        restored.forEach(this::put);
    }

    private static OrderOutcome stateOf(OrderEntry entry) {
        return switch (entry.phase()) {
            case RESERVED -> new OrderOutcome.Reserved(entry);
            case RELEASED -> new OrderOutcome.Released(entry.bodyHash());
            case DONE -> new OrderOutcome.Done(entry);
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
                NO_ANSWER,
                nowMs);
    }

    private static List<String> withNonce(List<String> nonces, String nonce) {
        List<String> next = new ArrayList<>(nonces);
        next.add(nonce);
        return next.size() > MAX_RELEASED_NONCES ? next.subList(1, next.size()) : next;
    }

    private boolean isFull() {
        return entries.size() >= maxKeys || answerBytes >= maxAnswerBytes;
    }

    private void put(OrderEntry entry) {
        OrderEntry previous = entries.remove(entry.key());
        answerBytes += entry.answer().length - (previous == null ? 0 : previous.answer().length);
        entries.put(entry.key(), entry);
    }

    private void removeExpired(long nowMs) {
        Iterator<OrderEntry> iterator = entries.values().iterator();
        while (iterator.hasNext()) {
            OrderEntry entry = iterator.next();
            if (nowMs - entry.changedMs() < RETENTION_MS) {
                return;
            }
            answerBytes -= entry.answer().length;
            iterator.remove();
        }
    }
}
