package io.sapphirestack.core.control;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import io.sapphirestack.core.id.InstanceRef;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/** Change of the set of live instances, ordered by the control log. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = MembershipEvent.Joined.class, name = "joined"),
    @JsonSubTypes.Type(value = MembershipEvent.Evicted.class, name = "evicted")
})
public sealed interface MembershipEvent {

    /** Returns the index of the log entry that caused the event. */
    long index();

    /**
     * An instance became live.
     *
     * @param index index of the log entry
     * @param ref instance with its new incarnation
     * @param retainedFrom earlier incarnation whose generations the process still holds in memory,
     *     or empty if there is none
     */
    record Joined(long index, InstanceRef ref, Optional<InstanceRef> retainedFrom)
            implements MembershipEvent {

        /** Validates the components. */
        public Joined {
            Objects.requireNonNull(ref, "ref");
            Objects.requireNonNull(retainedFrom, "retainedFrom");
        }
    }

    /**
     * Instances were evicted together, because they failed or left.
     *
     * @param index index of the log entry
     * @param refs incarnations that are no longer live
     * @param reason reason that is shown to operators
     */
    record Evicted(long index, List<InstanceRef> refs, String reason) implements MembershipEvent {

        /** Makes an immutable copy of the list. */
        public Evicted {
            refs = List.copyOf(refs);
        }
    }
}
