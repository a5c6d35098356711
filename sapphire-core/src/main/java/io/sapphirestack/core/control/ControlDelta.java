package io.sapphirestack.core.control;

import io.sapphirestack.core.id.InstanceId;
import io.sapphirestack.core.record.ConfigRecord;
import io.sapphirestack.core.record.RecordKey;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.UnaryOperator;

/**
 * Difference between two revisions of the {@link ControlView}.
 *
 * @param fromRevision revision of the view that this delta can be applied to
 * @param toRevision revision of the resulting view
 * @param changed records that were created or replaced
 * @param deleted keys of records that were deleted
 * @param joined instances that became live or have a new incarnation
 * @param left instances that are no longer live
 * @param events membership events between the two revisions, oldest first
 */
public record ControlDelta(
        long fromRevision,
        long toRevision,
        List<ConfigRecord> changed,
        List<RecordKey> deleted,
        List<InstanceInfo> joined,
        List<InstanceId> left,
        List<MembershipEvent> events) {

    /** Makes immutable copies of the lists. */
    public ControlDelta {
        changed = List.copyOf(changed);
        deleted = List.copyOf(deleted);
        joined = List.copyOf(joined);
        left = List.copyOf(left);
        events = List.copyOf(events);
    }

    /**
     * Returns a delta with other records.
     *
     * @param change replaces a changed record, under the same key
     * @return delta between the same revisions
     */
    public ControlDelta mapRecords(UnaryOperator<ConfigRecord> change) {
        return new ControlDelta(
                fromRevision,
                toRevision,
                changed.stream().map(change).toList(),
                deleted,
                joined,
                left,
                events);
    }

    /**
     * Applies this delta to a view.
     *
     * @param view view at {@link #fromRevision()}; it is not changed
     * @return the resulting view
     * @throws IllegalArgumentException if the view is at another revision
     */
    public ControlView applyTo(ControlView view) {
        Objects.requireNonNull(view, "view");
        if (view.revision() != fromRevision) {
            throw new IllegalArgumentException(
                    "delta applies to revision " + fromRevision + ", not to " + view.revision());
        }
        if (toRevision == fromRevision) {
            return view;
        }
        Map<RecordKey, ConfigRecord> records = new HashMap<>(view.records());
        deleted.forEach(records::remove);
        changed.forEach(record -> records.put(record.key(), record));
        Map<InstanceId, InstanceInfo> instances = new HashMap<>(view.instances());
        left.forEach(instances::remove);
        joined.forEach(info -> instances.put(info.ref().id(), info));
        List<MembershipEvent> allEvents = new ArrayList<>(view.events());
        allEvents.addAll(events);
        int excess = Math.max(0, allEvents.size() - ControlState.MAX_EVENTS);
        return new ControlView(
                toRevision, records, instances, allEvents.subList(excess, allEvents.size()));
    }
}
