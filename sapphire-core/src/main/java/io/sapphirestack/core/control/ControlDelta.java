package io.sapphirestack.core.control;

import io.sapphirestack.core.id.InstanceId;
import io.sapphirestack.core.record.ConfigRecord;
import io.sapphirestack.core.record.RecordKey;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Difference between two views.
 *
 * @param fromRevision revision of the view that the difference applies to
 * @param toRevision revision of the resulting view
 * @param changed created and replaced records
 * @param deleted keys of deleted records
 * @param joined instances that are live and were not, or have a new incarnation
 * @param left instances that are no longer live
 * @param events membership events in between, oldest first
 */
public record ControlDelta(
        long fromRevision,
        long toRevision,
        List<ConfigRecord> changed,
        List<RecordKey> deleted,
        List<InstanceInfo> joined,
        List<InstanceId> left,
        List<MembershipEvent> events) {

    /** Copies the lists. */
    public ControlDelta {
        changed = List.copyOf(changed);
        deleted = List.copyOf(deleted);
        joined = List.copyOf(joined);
        left = List.copyOf(left);
        events = List.copyOf(events);
    }

    /**
     * Applies the difference.
     *
     * @param view view with the revision that the difference starts from
     * @return the resulting view
     * @throws IllegalArgumentException if the view has another revision
     */
    public ControlView applyTo(ControlView view) {
        Objects.requireNonNull(view, "view");
        if (view.revision() != fromRevision) {
            throw new IllegalArgumentException(
                    "expected revision " + fromRevision + " but got " + view.revision());
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
