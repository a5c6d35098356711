package io.sapphirestack.core.id;

import java.util.Objects;

/**
 * One life of an instance; a restarted or evicted instance joins with a higher incarnation.
 *
 * @param id name of the instance
 * @param incarnation number of this life, positive
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
