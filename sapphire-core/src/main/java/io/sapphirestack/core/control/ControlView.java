package io.sapphirestack.core.control;

import io.sapphirestack.core.id.InstanceId;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.core.record.ConfigRecord;
import io.sapphirestack.core.record.RecordKey;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Immutable view of the replicated state that every instance holds; orders are not part of it.
 *
 * @param revision log index up to which the view is complete
 * @param records accepted records by key
 * @param instances live instances by name
 * @param events the most recent membership events, oldest first
 */
public record ControlView(
        long revision,
        Map<RecordKey, ConfigRecord> records,
        Map<InstanceId, InstanceInfo> instances,
        List<MembershipEvent> events) {

    /** View of an instance that has not been confirmed yet. */
    public static final ControlView EMPTY = new ControlView(0, Map.of(), Map.of(), List.of());

    /** Copies the collections. */
    public ControlView {
        records = Map.copyOf(records);
        instances = Map.copyOf(instances);
        events = List.copyOf(events);
    }

    /**
     * Returns a record.
     *
     * @param key identity of the record
     * @return the record, or empty if there is none
     */
    public Optional<ConfigRecord> record(RecordKey key) {
        return Optional.ofNullable(records.get(key));
    }

    /**
     * Tells whether an incarnation is live in this view.
     *
     * @param ref incarnation of an instance
     * @return whether exactly this incarnation is live
     */
    public boolean isLive(InstanceRef ref) {
        InstanceInfo info = instances.get(ref.id());
        return info != null && info.ref().equals(ref);
    }
}
