package io.sapphirestack.core.control;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import io.sapphirestack.core.id.InstanceRef;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/** Change of the set of live instances, in the order of the control log. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = MembershipEvent.Joined.class, name = "joined"),
    @JsonSubTypes.Type(value = MembershipEvent.Evicted.class, name = "evicted")
})
public sealed interface MembershipEvent {

    /** Returns the log index of the event. */
    long index();

    /**
     * An instance became live.
     *
     * @param index log index
     * @param ref new incarnation
     * @param retainedFrom earlier incarnation whose generations the process still holds in memory,
     *     if any
     */
    record Joined(long index, InstanceRef ref, Optional<InstanceRef> retainedFrom)
            implements MembershipEvent {

        /** Checks the components. */
        public Joined {
            Objects.requireNonNull(ref, "ref");
            Objects.requireNonNull(retainedFrom, "retainedFrom");
        }
    }

    /**
     * Instances stopped being live together, because they failed or left.
     *
     * @param index log index
     * @param refs incarnations that are no longer live
     * @param reason why, for operators
     */
    record Evicted(long index, List<InstanceRef> refs, String reason) implements MembershipEvent {

        /** Checks the components. */
        public Evicted {
            refs = List.copyOf(refs);
        }
    }
}
