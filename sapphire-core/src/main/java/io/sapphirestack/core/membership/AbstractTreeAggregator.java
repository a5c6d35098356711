package io.sapphirestack.core.membership;

import io.sapphirestack.core.id.InstanceId;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Base class of aggregators that sum values over the dissemination tree. Each instance sends to
 * each neighbour the sum over all instances on its own side of that edge, so traffic depends on the
 * number of entries and not on the number of instances.
 *
 * <p>Messages must be applied only if they come from a neighbour with the same tree. With different
 * trees the edges in use could form a cycle, and entries would be counted more than once. Not
 * thread-safe.
 *
 * @param <V> value of an entry
 * @param <S> state kept about what was last sent to a neighbour
 */
abstract class AbstractTreeAggregator<V, S> {

    /**
     * First byte of a message that replaces all entries that the receiver holds from the sender.
     */
    static final byte FULL = 1;

    /** First byte of a message that updates single entries. */
    static final byte CHANGES = 0;

    private final Map<InstanceId, Map<Integer, V>> received = new HashMap<>();
    private final Map<InstanceId, S> lastSent = new HashMap<>();

    /** Decodes the value of an entry from the current position of the buffer. */
    abstract V read(ByteBuffer in);

    /** Returns whether a value marks the entry as removed. */
    abstract boolean isNone(V value);

    /** Returns the sum of two values. */
    abstract V add(V one, V other);

    /**
     * Returns what was last sent, by neighbour; the subclass updates it. A neighbour without an
     * entry gets a full message next.
     */
    final Map<InstanceId, S> lastSent() {
        return lastSent;
    }

    /**
     * Removes the sums received from former neighbours, and makes the next message to each
     * neighbour a full one. Called when the tree changes.
     *
     * @param neighbours neighbours in the new tree
     */
    public final void retainNeighbours(Set<InstanceId> neighbours) {
        received.keySet().retainAll(neighbours);
        lastSent.clear();
    }

    /**
     * Makes the next message to a neighbour a full one.
     *
     * @param neighbour neighbour that may have missed a message
     */
    public final void sendFullNext(InstanceId neighbour) {
        lastSent.remove(neighbour);
    }

    /**
     * Applies a message from a neighbour that has the same tree.
     *
     * @param neighbour neighbour
     * @param encoded message; an empty one changes nothing
     * @return whether the message could be applied; if not, the neighbour has to send a full one
     * @throws IllegalArgumentException if the message ends within an entry
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
            throw new IllegalArgumentException(
                    "truncated entries in a message of " + encoded.length + " bytes", e);
        }
    }

    /** Returns the sum over all neighbours except one, by handle; {@code null} excludes none. */
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
