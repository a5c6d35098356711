package io.sapphirestack.core.membership;

import io.sapphirestack.core.id.InstanceId;
import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Base of sums of which every message holds the entries that changed since the one before. Not
 * thread-safe.
 *
 * @param <V> value of an entry
 */
abstract class AbstractChangeAggregator<V> extends AbstractTreeAggregator<V, Map<Integer, V>> {

    private final V none;
    private final int valueBytes;

    /**
     * Creates an aggregator without entries.
     *
     * @param none value that says that an entry is gone
     * @param valueBytes bytes of an encoded value
     */
    AbstractChangeAggregator(V none, int valueBytes) {
        this.none = none;
        this.valueBytes = valueBytes;
    }

    /** Writes the value of an entry, in the form that {@link #read} reads. */
    abstract void write(ByteBuffer out, V value);

    @Override
    final boolean isNone(V value) {
        return value.equals(none);
    }

    /**
     * Encodes the entries that changed since the last message to a neighbour.
     *
     * @param neighbour neighbour
     * @param local own values by short name
     * @param probe whether to send a message without changes too, so that the neighbour can tell
     *     that it lost what it had
     * @return message, empty if there is nothing to send
     */
    public final byte[] encodeFor(InstanceId neighbour, Map<Integer, V> local, boolean probe) {
        Map<Integer, V> sums = sumExcept(neighbour);
        local.forEach((handle, value) -> sums.merge(handle, value, this::add));
        Map<Integer, V> before = sent().put(neighbour, sums);
        Set<Integer> handles = new HashSet<>(sums.keySet());
        if (before != null) {
            handles.addAll(before.keySet());
            handles.removeIf(h -> valueOf(sums, h).equals(valueOf(before, h)));
        }
        if (handles.isEmpty() && before != null && !probe) {
            return new byte[0];
        }
        ByteBuffer out = ByteBuffer.allocate(1 + handles.size() * (Integer.BYTES + valueBytes));
        out.put(before == null ? FULL : CHANGES);
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
