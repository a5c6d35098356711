package io.sapphirestack.core.membership;

import io.sapphirestack.core.id.InstanceId;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Base of sums over the dissemination tree. Each instance sends to each neighbour the sum over all
 * instances on its own side of that edge, so traffic depends on the number of entries and not on
 * the number of instances.
 *
 * <p>Sums are accepted only from neighbours with the same tree, because a cycle between different
 * views would count entries repeatedly. Not thread-safe.
 *
 * @param <V> value of an entry
 * @param <S> what is remembered of the last message to a neighbour
 */
abstract class AbstractTreeAggregator<V, S> {

    /** First byte of a message that replaces all that the neighbour holds. */
    static final byte FULL = 1;

    /** First byte of a message with changed entries. */
    static final byte CHANGES = 0;

    private final Map<InstanceId, Map<Integer, V>> received = new HashMap<>();
    private final Map<InstanceId, S> sent = new HashMap<>();

    /** Reads the value of an entry. */
    abstract V read(ByteBuffer in);

    /** Returns whether a value says that the entry is gone. */
    abstract boolean isNone(V value);

    /** Adds two values. */
    abstract V add(V one, V other);

    /** Returns what is remembered of messages to the neighbours; changed by the subclass. */
    final Map<InstanceId, S> sent() {
        return sent;
    }

    /**
     * Drops what is known from and to former neighbours; called when the tree changes.
     *
     * @param neighbours neighbours in the new tree
     */
    public final void retainNeighbours(Set<InstanceId> neighbours) {
        received.keySet().retainAll(neighbours);
        sent.clear();
    }

    /**
     * Makes the next message replace all that the neighbour holds.
     *
     * @param neighbour neighbour to which a message may have been lost
     */
    public final void resend(InstanceId neighbour) {
        sent.remove(neighbour);
    }

    /**
     * Takes the sums of a neighbour with the same tree.
     *
     * @param neighbour neighbour
     * @param encoded message; an empty one says nothing
     * @return whether it could be applied; if not, the neighbour has to send everything
     * @throws IllegalArgumentException if the bytes are not entries
     */
    public final boolean receive(InstanceId neighbour, byte[] encoded) {
        if (encoded.length == 0) {
            return true;
        }
        ByteBuffer in = ByteBuffer.wrap(encoded);
        if (in.get() == FULL) {
            received.put(neighbour, new HashMap<>());
        }
        Map<Integer, V> entries = received.get(neighbour);
        if (entries == null) {
            return false;
        }
        try {
            while (in.hasRemaining()) {
                int handle = in.getInt();
                V value = read(in);
                if (isNone(value)) {
                    entries.remove(handle);
                } else {
                    entries.put(handle, value);
                }
            }
            return true;
        } catch (BufferUnderflowException e) {
            throw new IllegalArgumentException("truncated entries of " + encoded.length, e);
        }
    }

    /** Returns the sum over all neighbours but one; {@code null} excludes none. */
    final Map<Integer, V> sumExcept(InstanceId excluded) {
        Map<Integer, V> sums = new HashMap<>();
        received.forEach(
                (neighbour, entries) -> {
                    if (!neighbour.equals(excluded)) {
                        entries.forEach((handle, value) -> sums.merge(handle, value, this::add));
                    }
                });
        return sums;
    }
}
