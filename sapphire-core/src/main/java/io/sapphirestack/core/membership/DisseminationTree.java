package io.sapphirestack.core.membership;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import io.sapphirestack.core.control.InstanceInfo;
import io.sapphirestack.core.id.InstanceId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Tree over the live instances along which state is disseminated. Every instance with the same
 * membership view computes the same tree. Immutable.
 */
public final class DisseminationTree {
    /**
     * Default number of children. An inner instance has an edge to each child and one to its
     * parent, and each edge carries every report once. With 2 children the traffic of an instance
     * stays below 22 KB/s at 600 endpoints.
     */
    public static final int DEFAULT_FAN_OUT = 2;

    private final List<InstanceInfo> members;
    private final Map<InstanceId, Integer> positions = new HashMap<>();
    private final int fanOut;
    private final int fingerprint;

    /**
     * Computes the tree.
     *
     * @param instances live instances
     * @param fanOut maximum number of children of an instance, positive
     * @throws IllegalArgumentException if the fan-out is not positive
     */
    public DisseminationTree(Collection<InstanceInfo> instances, int fanOut) {
        if (fanOut < 1) {
            throw new IllegalArgumentException("fanOut must be positive but is " + fanOut);
        }
        this.fanOut = fanOut;
        this.members =
                instances.stream()
                        .sorted(
                                Comparator.comparing(InstanceInfo::availabilityZone)
                                        .thenComparing(i -> i.ref().id()))
                        .toList();
        HashStream64 stream = Hashing.xxh3_64().hashStream();
        for (int i = 0; i < members.size(); i++) {
            InstanceInfo member = members.get(i);
            positions.put(member.ref().id(), i);
            stream.putString(member.ref().id().value()).putLong(member.ref().incarnation());
        }
        this.fingerprint = stream.putInt(fanOut).getAsInt();
    }

    /**
     * Returns the parent and the children of an instance.
     *
     * @param id identifier of the instance
     * @return parent, then children; empty if the instance is not in the tree
     */
    public List<InstanceInfo> neighbours(InstanceId id) {
        Integer position = positions.get(id);
        if (position == null) {
            return List.of();
        }
        List<InstanceInfo> neighbours = new ArrayList<>(fanOut + 1);
        if (position > 0) {
            neighbours.add(members.get((position - 1) / fanOut));
        }
        long first = (long) position * fanOut + 1;
        for (long child = first; child < first + fanOut && child < members.size(); child++) {
            neighbours.add(members.get((int) child));
        }
        return List.copyOf(neighbours);
    }

    /**
     * Returns the parent of an instance.
     *
     * @param id identifier of the instance
     * @return parent, or empty for the root and for instances outside the tree
     */
    public Optional<InstanceInfo> parent(InstanceId id) {
        Integer position = positions.get(id);
        return position == null || position == 0
                ? Optional.empty()
                : Optional.of(members.get((position - 1) / fanOut));
    }

    /**
     * Returns whether an instance is in the tree.
     *
     * @param id identifier of the instance, or {@code null}
     * @return whether it is a member
     */
    public boolean contains(InstanceId id) {
        return positions.containsKey(id);
    }

    /** Returns the number of instances. */
    public int size() {
        return members.size();
    }

    /**
     * Returns a hash over the members, their incarnations and the fan-out; equal trees have the
     * same hash.
     */
    public int fingerprint() {
        return fingerprint;
    }
}
