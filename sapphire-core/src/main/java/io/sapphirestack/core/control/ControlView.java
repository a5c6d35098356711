package io.sapphirestack.core.control;

import io.sapphirestack.core.id.InstanceId;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.core.record.ConfigRecord;
import io.sapphirestack.core.record.RecordKey;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.UnaryOperator;

/**
 * Immutable view of the replicated state that is distributed to every instance. It does not contain
 * orders.
 *
 * @param revision log index of the last change that the view contains
 * @param records current records by key
 * @param instances live instances by identifier
 * @param events the most recent membership events, oldest first
 */
public record ControlView(
        long revision,
        Map<RecordKey, ConfigRecord> records,
        Map<InstanceId, InstanceInfo> instances,
        List<MembershipEvent> events) {

    /** Empty view, held by an instance until the control leader has confirmed it. */
    public static final ControlView EMPTY = new ControlView(0, Map.of(), Map.of(), List.of());

    /** Makes immutable copies of the collections. */
    public ControlView {
        records = Map.copyOf(records);
        instances = Map.copyOf(instances);
        events = List.copyOf(events);
    }

    /**
     * Returns a view with other records.
     *
     * @param change replaces a record, under the same key
     * @return view of the same revision
     */
    public ControlView mapRecords(UnaryOperator<ConfigRecord> change) {
        Map<RecordKey, ConfigRecord> changed = new HashMap<>(records);
        changed.replaceAll((key, record) -> change.apply(record));
        return new ControlView(revision, changed, instances, events);
    }

    /**
     * Finds a record.
     *
     * @param key key of the record
     * @return the record, or empty if there is none
     */
    public Optional<ConfigRecord> findRecord(RecordKey key) {
        return Optional.ofNullable(records.get(key));
    }

    /**
     * Returns whether an incarnation is live in this view.
     *
     * @param ref incarnation of an instance
     * @return whether this incarnation is live; {@code false} if the instance is live with another
     *     one
     */
    public boolean isLive(InstanceRef ref) {
        InstanceInfo info = instances.get(ref.id());
        return info != null && info.ref().equals(ref);
    }
}
