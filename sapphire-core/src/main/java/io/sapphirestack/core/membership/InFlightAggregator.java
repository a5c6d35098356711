package io.sapphirestack.core.membership;

import io.sapphirestack.core.id.InstanceId;
import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Sums work in flight over the dissemination tree, as {@link UsageAggregator} does for usage, with
 * 6 bytes for each endpoint that changed. Not thread-safe.
 */
public final class InFlightAggregator
        extends AbstractTreeAggregator<Integer, Map<Integer, Integer>> {
    /**
     * Most endpoints for which work in flight is disseminated. Beyond it the changes alone would
     * exceed the traffic budget; the reports of the endpoints then have to do.
     */
    public static final int MAX_ENDPOINTS = 100;

    private static final int ENTRY_BYTES = 6;

    @Override
    Integer read(ByteBuffer in) {
        return Short.toUnsignedInt(in.getShort());
    }

    @Override
    boolean isNone(Integer count) {
        return count == 0;
    }

    @Override
    Integer add(Integer one, Integer other) {
        return one + other;
    }

    /** Returns the work of all other instances. */
    public InFlightTable others() {
        return new InFlightTable(true, sumExcept(null));
    }

    /**
     * Encodes the entries that changed since the last message to a neighbour.
     *
     * @param neighbour neighbour
     * @param local own work in flight by short name
     * @param probe whether to send a message without changes too, so that the neighbour can tell
     *     that it lost what it had
     * @return message, empty if there is nothing to send
     */
    public byte[] encodeFor(InstanceId neighbour, Map<Integer, Integer> local, boolean probe) {
        Map<Integer, Integer> sums = sumExcept(neighbour);
        local.forEach((handle, count) -> sums.merge(handle, count, Integer::sum));
        Map<Integer, Integer> before = sent().put(neighbour, sums);
        Set<Integer> handles = new HashSet<>(sums.keySet());
        if (before != null) {
            handles.addAll(before.keySet());
            handles.removeIf(h -> sums.getOrDefault(h, 0).equals(before.getOrDefault(h, 0)));
        }
        if (handles.isEmpty() && before != null && !probe) {
            return new byte[0];
        }
        ByteBuffer out = ByteBuffer.allocate(1 + handles.size() * ENTRY_BYTES);
        out.put(before == null ? FULL : CHANGES);
        for (int handle : handles) {
            out.putInt(handle).putShort((short) Math.min(0xffff, sums.getOrDefault(handle, 0)));
        }
        return out.array();
    }
}
