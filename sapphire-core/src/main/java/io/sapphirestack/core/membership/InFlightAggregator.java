package io.sapphirestack.core.membership;

import io.sapphirestack.core.id.InstanceId;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Sums work in flight over the dissemination tree, as {@link UsageAggregator} does for usage, with
 * 6 bytes for each endpoint that changed. Not thread-safe.
 */
public final class InFlightAggregator {
    /**
     * Most endpoints for which work in flight is disseminated. Beyond it the changes alone would
     * exceed the traffic budget; the reports of the endpoints then have to do.
     */
    public static final int MAX_ENDPOINTS = 100;

    private static final int ENTRY_BYTES = 6;
    private static final byte FULL = 1;
    private static final byte CHANGES = 0;

    private final Map<InstanceId, Map<Integer, Integer>> received = new HashMap<>();
    private final Map<InstanceId, Map<Integer, Integer>> sent = new HashMap<>();

    /**
     * Drops what is known from and to former neighbours; called when the tree changes.
     *
     * @param neighbours neighbours in the new tree
     */
    public void retainNeighbours(Set<InstanceId> neighbours) {
        received.keySet().retainAll(neighbours);
        sent.clear();
    }

    /**
     * Makes the next message replace all that the neighbour holds.
     *
     * @param neighbour neighbour to which a message may have been lost
     */
    public void resend(InstanceId neighbour) {
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
    public boolean receive(InstanceId neighbour, byte[] encoded) {
        if (encoded.length == 0) {
            return true;
        }
        ByteBuffer in = ByteBuffer.wrap(encoded);
        if (in.get() == FULL) {
            received.put(neighbour, new HashMap<>());
        }
        Map<Integer, Integer> entries = received.get(neighbour);
        if (entries == null) {
            return false;
        }
        try {
            while (in.hasRemaining()) {
                int handle = in.getInt();
                int count = Short.toUnsignedInt(in.getShort());
                if (count == 0) {
                    entries.remove(handle);
                } else {
                    entries.put(handle, count);
                }
            }
            return true;
        } catch (BufferUnderflowException e) {
            throw new IllegalArgumentException("truncated entries of " + encoded.length, e);
        }
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
        Map<Integer, Integer> before = sent.put(neighbour, sums);
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

    private Map<Integer, Integer> sumExcept(InstanceId excluded) {
        Map<Integer, Integer> sums = new HashMap<>();
        received.forEach(
                (neighbour, entries) -> {
                    if (!neighbour.equals(excluded)) {
                        entries.forEach((handle, n) -> sums.merge(handle, n, Integer::sum));
                    }
                });
        return sums;
    }
}
