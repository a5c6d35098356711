package io.sapphirestack.core.control;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sapphirestack.core.control.ControlSnapshot.OutstandingOrder;
import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.id.InstanceId;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.core.order.OrderEntry;
import io.sapphirestack.core.order.OrderLedger;
import io.sapphirestack.core.order.OrderLedgerResult;
import io.sapphirestack.core.record.ConfigRecord;
import io.sapphirestack.core.record.RecordKey;
import io.sapphirestack.core.record.StopTarget;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Replicated state machine of the control log. It is deterministic: the same commands in the same
 * order lead to the same state and results on every voter. For this reason, the time and the
 * validation of a record's content are passed in with each command. Not thread-safe, but the views
 * that it returns are immutable.
 */
public final class ControlState {

    /** Maximum number of change ids, and of join ids, whose first result is kept. */
    public static final int MAX_STORED_RESULTS = 10_000;

    /** Maximum number of membership events in a view. */
    public static final int MAX_EVENTS = 1_000;

    /** Field with the version number in a record written by {@link ControlCommand.PutNewest}. */
    public static final String NUMBER_FIELD = "number";

    /** Field with the content in a record written by {@link ControlCommand.PutNewest}. */
    public static final String CONTENT_FIELD = "content";

    /**
     * Maximum number of changes that are kept to compute deltas; an older revision needs the whole
     * view.
     */
    private static final int MAX_CHANGES = 1_000;

    private final RecordTable records = new RecordTable();
    private final Map<InstanceId, InstanceInfo> instances = new TreeMap<>();
    private final Map<InstanceId, Long> incarnations = new TreeMap<>();
    private final Deque<MembershipEvent> events = new ArrayDeque<>();
    private final CommandResultCache changeResults = new CommandResultCache(MAX_STORED_RESULTS);
    private final CommandResultCache joinResults = new CommandResultCache(MAX_STORED_RESULTS);
    private final OrderLedger orders = new OrderLedger();
    private final Map<EndpointId, OutstandingOrder> endpointOrders = new TreeMap<>();
    private final Map<String, String> voters = new TreeMap<>();
    private final Deque<ViewChange> changes = new ArrayDeque<>();

    /** Oldest revision from which a delta can be computed. */
    private long oldestRevision;

    private long index;
    private long timeMs;
    private ControlView view = ControlView.EMPTY;

    /**
     * Applies a command.
     *
     * @param entryIndex log index of the command, above that of the last applied entry
     * @param entryTimeMs time of the entry in milliseconds since the Unix epoch
     * @param validated command with the validation result of the leader
     * @return the result of the command
     * @throws IllegalArgumentException if the entry was already applied
     */
    public ControlResult apply(long entryIndex, long entryTimeMs, ValidatedCommand validated) {
        advanceTo(entryIndex, entryTimeMs);
        ControlCommand command = validated.command();
        if (command instanceof ControlCommand.PutRecord put) {
            return put(put, validated.wrongField());
        } else if (command instanceof ControlCommand.DeleteRecord delete) {
            return delete(delete);
        } else if (command instanceof ControlCommand.PutNewest put) {
            return putNewest(put);
        } else if (command instanceof ControlCommand.ReadRecord read) {
            return new ControlResult.RecordHistory(records.find(read.key()).stream().toList());
        } else if (command instanceof ControlCommand.ReadHistory read) {
            return new ControlResult.RecordHistory(records.versionsNewestFirst(read.key()));
        } else if (command instanceof ControlCommand.JoinInstance join) {
            return joinResults.find(join.joinId()).orElseGet(() -> join(join));
        } else if (command instanceof ControlCommand.EvictInstances evict) {
            evict(evict);
            return new ControlResult.Applied(index);
        } else if (command instanceof ControlCommand.ReserveOrder reserve) {
            return toResult(
                    orders.reserve(
                            reserve.key(),
                            reserve.bodyHash(),
                            reserve.holder(),
                            reserve.nonce(),
                            timeMs));
        } else if (command instanceof ControlCommand.ReleaseOrder release) {
            return toResult(orders.release(release.key(), release.nonce(), timeMs));
        } else if (command instanceof ControlCommand.CompleteOrder complete) {
            return toResult(
                    orders.complete(
                            complete.key(),
                            complete.nonce(),
                            complete.status(),
                            complete.contentType(),
                            complete.answer(),
                            timeMs));
        } else if (command instanceof ControlCommand.ReadOrder read) {
            return toResult(orders.read(read.key(), timeMs));
        } else if (command instanceof ControlCommand.IssueEndpointOrder issue) {
            return issueEndpointOrder(issue);
        } else if (command instanceof ControlCommand.CompleteEndpointOrder complete) {
            endpointOrders.computeIfPresent(
                    complete.endpoint(),
                    (id, order) -> order.fencingToken() == complete.fencingToken() ? null : order);
            return new ControlResult.Applied(index);
        }
        throw new IllegalStateException("unknown command " + command.getClass().getName());
    }

    /**
     * Applies an entry without a command, such as a membership change.
     *
     * @param entryIndex log index of the entry, above that of the last applied entry
     * @param entryTimeMs time of the entry in milliseconds since the Unix epoch
     * @param newVoters address of each voter by its identity, or empty if the voters do not change
     * @throws IllegalArgumentException if the entry was already applied
     */
    public void applyVoters(
            long entryIndex, long entryTimeMs, Optional<Map<String, String>> newVoters) {
        advanceTo(entryIndex, entryTimeMs);
        newVoters.ifPresent(
                next -> {
                    voters.clear();
                    voters.putAll(next);
                });
    }

    /** Returns the current view. */
    public ControlView view() {
        return view;
    }

    /** Returns the index of the last applied log entry. */
    public long index() {
        return index;
    }

    /** Returns the time of the last applied entry, in milliseconds since the Unix epoch. */
    public long timeMs() {
        return timeMs;
    }

    /**
     * Computes the changes since an earlier view.
     *
     * @param revision revision of that view
     * @return the delta to the current view, or empty if the revision is too old or above the
     *     current one
     */
    public Optional<ControlDelta> deltaSince(long revision) {
        if (revision < oldestRevision || revision > view.revision()) {
            return Optional.empty();
        }
        Set<RecordKey> keys = new LinkedHashSet<>();
        Set<InstanceId> ids = new LinkedHashSet<>();
        List<MembershipEvent> newEvents = new ArrayList<>();
        for (ViewChange change : changes) {
            if (change.index() > revision) {
                keys.addAll(change.keys());
                ids.addAll(change.ids());
                newEvents.addAll(change.events());
            }
        }
        return Optional.of(
                new ControlDelta(
                        revision,
                        view.revision(),
                        keys.stream().flatMap(key -> records.find(key).stream()).toList(),
                        keys.stream().filter(key -> records.find(key).isEmpty()).toList(),
                        ids.stream().filter(instances::containsKey).map(instances::get).toList(),
                        ids.stream().filter(id -> !instances.containsKey(id)).toList(),
                        newEvents));
    }

    /**
     * Creates a snapshot of the complete state.
     *
     * @param clusterId cluster that the state belongs to
     * @return immutable copy of the state
     */
    public ControlSnapshot snapshot(String clusterId) {
        return new ControlSnapshot(
                clusterId,
                index,
                timeMs,
                view,
                records.histories(),
                changeResults.toList(),
                joinResults.toList(),
                Map.copyOf(incarnations),
                orders.entries(),
                Map.copyOf(endpointOrders),
                Map.copyOf(voters));
    }

    /**
     * Replaces the state by a snapshot.
     *
     * @param snapshot state to restore
     * @param clusterId cluster that the voter belongs to
     * @throws IllegalArgumentException if the snapshot belongs to another cluster
     */
    public void restore(ControlSnapshot snapshot, String clusterId) {
        if (!snapshot.clusterId().equals(clusterId)) {
            throw new IllegalArgumentException(
                    "snapshot of cluster "
                            + snapshot.clusterId()
                            + " does not belong to cluster "
                            + clusterId);
        }
        index = snapshot.index();
        timeMs = snapshot.timeMs();
        view = snapshot.view();
        oldestRevision = view.revision();
        changes.clear();
        records.restore(view.records(), snapshot.histories());
        instances.clear();
        instances.putAll(view.instances());
        events.clear();
        events.addAll(view.events());
        changeResults.restore(snapshot.changeAnswers());
        joinResults.restore(snapshot.joinAnswers());
        incarnations.clear();
        incarnations.putAll(snapshot.incarnations());
        orders.restore(snapshot.orders());
        endpointOrders.clear();
        endpointOrders.putAll(snapshot.endpointOrders());
        voters.clear();
        voters.putAll(snapshot.voters());
    }

    private void advanceTo(long entryIndex, long entryTimeMs) {
        if (entryIndex <= index) {
            throw new IllegalArgumentException(
                    "entry " + entryIndex + " was already applied; last applied entry is " + index);
        }
        index = entryIndex;
        timeMs = Math.max(timeMs, entryTimeMs);
    }

    private ControlResult put(ControlCommand.PutRecord put, Optional<String> wrongField) {
        Optional<ControlResult> firstResult = changeResults.find(put.changeId());
        if (firstResult.isPresent()) {
            return firstResult.get();
        }
        ControlResult result = validatePut(put, wrongField);
        if (put.dryRun()) {
            return result;
        }
        if (result instanceof ControlResult.RecordAccepted) {
            records.put(
                    new ConfigRecord(
                            put.key(),
                            put.schemaVersion(),
                            put.minimumReader(),
                            index,
                            put.changeId(),
                            put.operator(),
                            put.body()));
            publishChange(Set.of(put.key()), Set.of(), List.of());
        }
        return changeResults.put(put.changeId(), result);
    }

    private ControlResult putNewest(ControlCommand.PutNewest put) {
        long current =
                records.find(put.key())
                        .map(record -> record.body().path(NUMBER_FIELD).asLong(0))
                        .orElse(0L);
        if (put.number() > current) {
            ObjectNode body = JsonNodeFactory.instance.objectNode();
            body.put(NUMBER_FIELD, put.number());
            body.set(CONTENT_FIELD, put.body());
            records.putWithoutHistory(
                    new ConfigRecord(
                            put.key(),
                            1,
                            1,
                            index,
                            "number-" + put.number(),
                            put.operator(),
                            body));
            publishChange(Set.of(put.key()), Set.of(), List.of());
        }
        return new ControlResult.RecordAccepted(records.revisionOf(put.key()));
    }

    private ControlResult validatePut(ControlCommand.PutRecord put, Optional<String> wrongField) {
        if (wrongField.isPresent()) {
            return new ControlResult.RecordRefused("invalid_record", wrongField.get());
        }
        if (records.revisionOf(put.key()) != put.expectedRevision()) {
            return records.createConflict(put.key());
        }
        List<InstanceRef> incompatible =
                instances.values().stream()
                        .filter(info -> info.readerVersion() < put.minimumReader())
                        .map(InstanceInfo::ref)
                        .toList();
        if (!incompatible.isEmpty()) {
            return new ControlResult.RecordRefused(
                    "unreadable_by_instances",
                    "minimumReader " + put.minimumReader() + " is not read by " + incompatible);
        }
        if (stopBreaksMajority(put.key())) {
            return new ControlResult.RecordRefused(
                    "stop_breaks_majority",
                    "without " + put.key().name() + " the voters would have no majority");
        }
        return new ControlResult.RecordAccepted(put.dryRun() ? view.revision() : index);
    }

    /**
     * Returns whether a new stop record would leave the voters without a majority. A voter counts
     * as running if a live instance has its address and no stop record exists for that instance.
     * Always {@code false} if the instance to stop is not live or not a voter.
     */
    private boolean stopBreaksMajority(RecordKey stop) {
        String prefix = StopTarget.INSTANCE.namePrefix();
        if (!stop.kind().equals("stop")
                || !stop.name().startsWith(prefix)
                || records.find(stop).isPresent()) {
            return false;
        }
        String stoppedId = stop.name().substring(prefix.length());
        boolean isVoter =
                instances.values().stream()
                        .anyMatch(
                                info ->
                                        info.ref().id().value().equals(stoppedId)
                                                && voters.containsValue(info.peerAddress()));
        if (!isVoter) {
            return false;
        }
        long remaining =
                instances.values().stream()
                        .filter(info -> voters.containsValue(info.peerAddress()))
                        .map(info -> info.ref().id().value())
                        .filter(id -> !id.equals(stoppedId))
                        .filter(id -> records.find(new RecordKey("stop", prefix + id)).isEmpty())
                        .count();
        return remaining < voters.size() / 2 + 1;
    }

    private ControlResult delete(ControlCommand.DeleteRecord delete) {
        Optional<ControlResult> firstResult = changeResults.find(delete.changeId());
        if (firstResult.isPresent()) {
            return firstResult.get();
        }
        long current = records.revisionOf(delete.key());
        ControlResult result;
        if (current != delete.expectedRevision()) {
            result = records.createConflict(delete.key());
        } else if (current == 0) {
            result = new ControlResult.RecordRefused("not_found", "no record " + delete.key());
        } else {
            result = new ControlResult.RecordAccepted(delete.dryRun() ? view.revision() : index);
        }
        if (delete.dryRun()) {
            return result;
        }
        if (result instanceof ControlResult.RecordAccepted) {
            records.delete(delete.key(), index, delete.changeId(), delete.operator());
            publishChange(Set.of(delete.key()), Set.of(), List.of());
        }
        return changeResults.put(delete.changeId(), result);
    }

    private ControlResult join(ControlCommand.JoinInstance join) {
        InstanceInfo proposed = join.info();
        InstanceId id = proposed.ref().id();
        long incarnation =
                Math.max(proposed.ref().incarnation(), incarnations.getOrDefault(id, 0L) + 1);
        InstanceRef ref = new InstanceRef(id, incarnation);
        List<MembershipEvent> newEvents = new ArrayList<>();
        InstanceInfo previous = instances.get(id);
        if (previous != null) {
            newEvents.add(
                    new MembershipEvent.Evicted(
                            index, List.of(previous.ref()), "replaced by a new incarnation"));
        }
        newEvents.add(new MembershipEvent.Joined(index, ref, join.retainedFrom()));
        incarnations.put(id, incarnation);
        instances.put(
                id,
                new InstanceInfo(
                        ref,
                        proposed.availabilityZone(),
                        proposed.region(),
                        proposed.peerAddress(),
                        proposed.httpAddress(),
                        proposed.readerVersion()));
        publishChange(Set.of(), Set.of(id), newEvents);
        return joinResults.put(join.joinId(), new ControlResult.Joined(ref, index));
    }

    private void evict(ControlCommand.EvictInstances evict) {
        List<InstanceRef> evicted =
                evict.refs().stream().filter(view::isLive).distinct().sorted().toList();
        if (evicted.isEmpty()) {
            return;
        }
        Set<InstanceId> ids = new LinkedHashSet<>();
        for (InstanceRef ref : evicted) {
            instances.remove(ref.id());
            ids.add(ref.id());
        }
        publishChange(
                Set.of(),
                ids,
                List.of(new MembershipEvent.Evicted(index, evicted, evict.reason())));
    }

    private ControlResult issueEndpointOrder(ControlCommand.IssueEndpointOrder issue) {
        OutstandingOrder outstanding = endpointOrders.get(issue.endpoint());
        if (outstanding != null) {
            return new ControlResult.EndpointOrderOutstanding(outstanding.fencingToken());
        }
        endpointOrders.put(issue.endpoint(), new OutstandingOrder(index, issue.order()));
        return new ControlResult.EndpointOrderIssued(index);
    }

    /** Records a change, so that deltas include it, and creates the new view. */
    private void publishChange(
            Set<RecordKey> keys, Set<InstanceId> ids, List<MembershipEvent> newEvents) {
        events.addAll(newEvents);
        while (events.size() > MAX_EVENTS) {
            events.removeFirst();
        }
        changes.add(new ViewChange(index, keys, ids, newEvents));
        if (changes.size() > MAX_CHANGES) {
            oldestRevision = changes.removeFirst().index();
        }
        view = new ControlView(index, records.records(), instances, List.copyOf(events));
    }

    private static ControlResult toResult(OrderLedgerResult result) {
        if (result instanceof OrderLedgerResult.Granted granted) {
            return new ControlResult.OrderGranted(granted.nonce());
        } else if (result instanceof OrderLedgerResult.Reserved reserved) {
            OrderEntry entry = reserved.entry();
            return new ControlResult.OrderReserved(entry.holder(), entry.nonce(), entry.bodyHash());
        } else if (result instanceof OrderLedgerResult.Released released) {
            return new ControlResult.OrderReleased(released.bodyHash());
        } else if (result instanceof OrderLedgerResult.Done done) {
            OrderEntry entry = done.entry();
            return new ControlResult.OrderDone(
                    entry.bodyHash(), entry.status(), entry.contentType(), entry.answer());
        } else if (result instanceof OrderLedgerResult.KeyReused) {
            return new ControlResult.OrderKeyReused();
        } else if (result instanceof OrderLedgerResult.LedgerFull) {
            return new ControlResult.OrderLedgerFull();
        }
        return new ControlResult.OrderNotFound();
    }

    /** Keys and instances that one log entry changed, and its membership events. */
    private record ViewChange(
            long index, Set<RecordKey> keys, Set<InstanceId> ids, List<MembershipEvent> events) {}
}
