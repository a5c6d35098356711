package io.sapphirestack.core.id;

import java.util.Objects;

/**
 * One incarnation of an instance, that is, its registration between a join and an eviction. An
 * instance that restarts or was evicted joins again with a higher incarnation number.
 *
 * @param id identifier of the instance
 * @param incarnation incarnation number, at least 1
 */
public record InstanceRef(InstanceId id, long incarnation) implements Comparable<InstanceRef> {

    /** Checks the components. */
    public InstanceRef {
        Objects.requireNonNull(id, "id");
        if (incarnation < 1) {
            throw new IllegalArgumentException(
                    "incarnation must be positive but is " + incarnation);
        }
    }

    @Override
    public int compareTo(InstanceRef other) {
        int byId = id.compareTo(other.id);
        return byId != 0 ? byId : Long.compare(incarnation, other.incarnation);
    }

    @Override
    public String toString() {
        return id + "/" + incarnation;
    }
}
