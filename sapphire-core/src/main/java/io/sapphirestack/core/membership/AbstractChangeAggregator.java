package io.sapphirestack.core.membership;

import io.sapphirestack.core.id.InstanceId;
import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Base class of aggregators whose messages contain only the entries that changed since the previous
 * message. Not thread-safe.
 *
 * @param <V> value of an entry
 */
abstract class AbstractChangeAggregator<V> extends AbstractTreeAggregator<V, Map<Integer, V>> {

    private final V none;
    private final int valueBytes;

    /**
     * Creates an aggregator without entries.
     *
     * @param none value that marks an entry as removed
     * @param valueBytes size of an encoded value in bytes
     */
    AbstractChangeAggregator(V none, int valueBytes) {
        this.none = none;
        this.valueBytes = valueBytes;
    }

    /** Encodes the value of an entry in the format that {@link #read} decodes. */
    abstract void write(ByteBuffer out, V value);

    @Override
    final boolean isNone(V value) {
        return value.equals(none);
    }

    /**
     * Encodes the entries that changed since the last message to a neighbour.
     *
     * @param neighbour neighbour
     * @param local values of this instance by handle
     * @param probe whether to send a message even without changes, so that a neighbour that has
     *     lost its entries can ask for a full one
     * @return message, empty if there is nothing to send
     */
    public final byte[] encodeFor(InstanceId neighbour, Map<Integer, V> local, boolean probe) {
        Map<Integer, V> sums = sumExcept(neighbour);
        local.forEach((handle, value) -> sums.merge(handle, value, this::add));
        Map<Integer, V> previous = lastSent().put(neighbour, sums);
        Set<Integer> handles = new HashSet<>(sums.keySet());
        if (previous != null) {
            handles.addAll(previous.keySet());
            handles.removeIf(h -> valueOf(sums, h).equals(valueOf(previous, h)));
        }
        if (handles.isEmpty() && previous != null && !probe) {
            return new byte[0];
        }
        ByteBuffer out = ByteBuffer.allocate(1 + handles.size() * (Integer.BYTES + valueBytes));
        out.put(previous == null ? FULL : CHANGES);
        for (int handle : handles) {
            out.putInt(handle);
            write(out, valueOf(sums, handle));
        }
        return out.array();
    }

    private V valueOf(Map<Integer, V> values, int handle) {
        return values.getOrDefault(handle, none);
    }
}
