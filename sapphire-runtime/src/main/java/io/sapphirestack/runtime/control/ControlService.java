package io.sapphirestack.runtime.control;

import io.sapphirestack.core.control.ControlCommand;
import io.sapphirestack.core.control.ControlState;
import io.sapphirestack.core.control.FleetStatus;
import io.sapphirestack.core.control.RecordContent;
import io.sapphirestack.core.record.ConfigRecord;
import io.sapphirestack.core.record.RecordKey;
import io.sapphirestack.core.record.RecordSpecResolver;
import io.sapphirestack.core.replication.DamagedLogException;
import io.sapphirestack.core.replication.LogStore;
import io.sapphirestack.core.replication.ReplicationSettings;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.transport.PeerHandlerRegistry;
import io.sapphirestack.runtime.transport.PeerTransport;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;

/**
 * Serves one voter of the control log to the other instances. After a failure, for example of the
 * storage, the voter starts again from its stored state; until then its replies say that it cannot
 * answer. Thread-safe.
 */
public final class ControlService {

    private static final Logger LOG = Logger.getLogger(ControlService.class);
    private static final long FORWARD_TIMEOUT_MS = 1_000;

    /** Maximum duration of a long poll, and so of the interval between two heartbeats. */
    private static final long MAX_WATCH_MS = 500;

    private final ReplicationSettings settings;
    private final PeerTransport transport;
    private final MillisClock clock;
    private final VoterLoop loop;

    /**
     * Creates a voter and registers its message handlers; {@link #start()} runs it.
     *
     * @param settings addresses of the voters and timeouts
     * @param storeFactory opens the durable storage, not loaded yet; the voter closes it
     * @param transport sends requests to other voters
     * @param registry registry for the message handlers
     * @param clock monotonic clock
     * @param wallClock wall clock for the timestamps of log entries
     * @param random source of randomness, for example for election timeouts
     * @param resolver validates the records in submitted commands
     */
    public ControlService(
            ReplicationSettings settings,
            Supplier<LogStore> storeFactory,
            PeerTransport transport,
            PeerHandlerRegistry registry,
            MillisClock clock,
            MillisClock wallClock,
            RandomGenerator random,
            RecordSpecResolver resolver) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.transport = Objects.requireNonNull(transport, "transport");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.loop =
                new VoterLoop(
                        settings, storeFactory, transport, clock, wallClock, random, resolver);
        registry.register(ReplicationEnvelope.class, this::onEnvelope);
        registry.register(SubmitRequest.class, this::onSubmit);
        registry.register(WatchRequest.class, this::onWatch);
        registry.register(ConfirmRequest.class, this::onConfirm);
        registry.register(FleetRequest.class, this::onFleet);
        registry.register(ReportPeerRequest.class, this::onReportPeer);
        registry.register(ReadRecordRequest.class, this::onReadRecord);
    }

    /**
     * Starts the voter. If its storage cannot be read or written, the voter tries again until it
     * can.
     *
     * @throws DamagedLogException if the content of the storage is damaged; the voter does not run
     */
    public void start() throws DamagedLogException {
        loop.start();
    }

    /** Returns whether the stored state is loaded and the voter takes part in the control log. */
    public boolean isRunning() {
        return loop.isRunning();
    }

    /** Returns the leader lease of this voter. */
    public LeaderLease leaderLease() {
        return loop.lease();
    }

    /**
     * Returns whether this node is in the current voter set, unlike a learner or an empty node.
     *
     * @return future that completes with false if the voter has stopped
     */
    public CompletableFuture<Boolean> isVoter() {
        return readState(
                false,
                () -> loop.core().node().membership().contains(loop.core().node().voterId()));
    }

    /**
     * Transfers the leadership to another voter, before a planned stop.
     *
     * @return future with whether this voter does not lead or has asked another one to take over
     */
    public CompletableFuture<Boolean> transferLeadership() {
        return readState(
                false,
                () ->
                        loop.core().node().leadership().isEmpty()
                                || loop.core().node().transferLeadership());
    }

    /**
     * Stops the voter thread and closes the storage.
     *
     * @return future that completes when the storage is closed
     */
    public CompletableFuture<Void> stop() {
        return loop.stop();
    }

    /**
     * Returns the current voter set.
     *
     * @return future with the voters, no addresses if the voter has stopped or has no cluster
     */
    public CompletableFuture<FindVotersRequest.Voters> voters() {
        return readState(
                new FindVotersRequest.Voters(0, List.of()),
                () ->
                        new FindVotersRequest.Voters(
                                loop.core().state().index(),
                                List.copyOf(loop.core().node().membership().voters().values())));
    }

    /**
     * Returns a record as this voter has applied it, which may be older than the newest one.
     *
     * @param key key of the record
     * @return future with the record, empty if there is none or the voter has stopped
     */
    CompletableFuture<Optional<ConfigRecord>> findApplied(RecordKey key) {
        return readState(Optional.empty(), () -> loop.core().state().view().findRecord(key));
    }

    private <T> CompletableFuture<T> readState(T whenStopped, Supplier<T> supplier) {
        return loop.call(whenStopped, reply -> reply.complete(supplier.get()));
    }

    private CompletableFuture<ReplicationEnvelope.Accepted> onEnvelope(
            ReplicationEnvelope envelope) {
        boolean accepted = loop.isRunning();
        if (accepted) {
            loop.receive(envelope.message());
        }
        return CompletableFuture.completedFuture(new ReplicationEnvelope.Accepted(accepted));
    }

    private CompletableFuture<SubmitReply> onSubmit(SubmitRequest request) {
        return loop.call(
                SubmitReply.notAppended(""),
                reply -> {
                    OptionalLong index = loop.core().propose(request.command());
                    String leader = loop.core().node().leaderAddress();
                    if (index.isPresent()) {
                        loop.submitTracker()
                                .add(
                                        index.getAsLong(),
                                        loop.core().node().term(),
                                        clock.nowMs() + request.timeoutMs(),
                                        reply);
                    } else if (request.forwarded()
                            || leader.isEmpty()
                            || leader.equals(settings.address())) {
                        reply.complete(SubmitReply.notAppended(leader));
                    } else {
                        SubmitRequest forwarded =
                                new SubmitRequest(request.command(), request.timeoutMs(), true);
                        transport
                                .call(leader, forwarded, request.timeoutMs())
                                .exceptionally(failure -> SubmitReply.unknown(leader))
                                .thenAccept(reply::complete);
                    }
                });
    }

    private CompletableFuture<WatchReply> onWatch(WatchRequest request) {
        return loop.call(
                WatchReply.unconfirmed(""),
                reply -> {
                    long nowMs = clock.nowMs();
                    long waitMs = Math.max(0, Math.min(MAX_WATCH_MS, request.waitMs()));
                    WatchTracker.Watch watch =
                            loop.watchTracker().add(request, nowMs + waitMs, reply);
                    if (loop.core().node().leadership().isPresent()) {
                        loop.monitor().recordHeartbeat(request.status(), nowMs);
                        loop.confirmLeadership(watch::onConfirmed, watch::onRefused);
                        return;
                    }
                    String leader = loop.core().node().leaderAddress();
                    if (leader.isEmpty()) {
                        watch.onRefused();
                        return;
                    }
                    transport
                            .call(leader, new ConfirmRequest(request.status()), MAX_WATCH_MS)
                            .exceptionally(failure -> new ConfirmRequest.Confirmation(false, 0))
                            .thenAccept(
                                    result ->
                                            loop.execute(
                                                    () -> {
                                                        if (result.confirmed()) {
                                                            watch.onConfirmed(result.index());
                                                        } else {
                                                            watch.onRefused();
                                                        }
                                                    }));
                });
    }

    private CompletableFuture<ConfirmRequest.Confirmation> onConfirm(ConfirmRequest request) {
        ConfirmRequest.Confirmation refused = new ConfirmRequest.Confirmation(false, 0);
        return loop.call(
                refused,
                reply -> {
                    if (loop.core().node().leadership().isPresent()) {
                        loop.monitor().recordHeartbeat(request.status(), clock.nowMs());
                    }
                    loop.confirmLeadership(
                            index -> reply.complete(new ConfirmRequest.Confirmation(true, index)),
                            () -> reply.complete(refused));
                });
    }

    private CompletableFuture<ReadRecordRequest.ReadRecordReply> onReadRecord(
            ReadRecordRequest request) {
        return loop.call(
                ReadRecordRequest.ReadRecordReply.unconfirmed(""),
                reply -> {
                    String leader = loop.core().node().leaderAddress();
                    ReadRecordRequest.ReadRecordReply unconfirmed =
                            ReadRecordRequest.ReadRecordReply.unconfirmed(leader);
                    if (loop.core().node().leadership().isPresent()) {
                        // A read is confirmed once all entries before it are applied.
                        loop.confirmLeadership(
                                index -> reply.complete(read(request, leader)),
                                () -> reply.complete(unconfirmed));
                    } else if (request.forwarded() || leader.isEmpty()) {
                        reply.complete(unconfirmed);
                    } else {
                        transport
                                .call(leader, request.toForwarded(), FORWARD_TIMEOUT_MS)
                                .exceptionally(failure -> unconfirmed)
                                .thenAccept(reply::complete);
                    }
                });
    }

    private ReadRecordRequest.ReadRecordReply read(ReadRecordRequest request, String leader) {
        Optional<ConfigRecord> record = loop.core().state().view().findRecord(request.key());
        return new ReadRecordRequest.ReadRecordReply(
                true,
                request.omitsContent() ? record.map(RecordContent::withoutContent) : record,
                leader);
    }

    private CompletableFuture<FleetRequest.FleetReply> onFleet(FleetRequest request) {
        return loop.call(
                new FleetRequest.FleetReply(Optional.empty(), ""),
                reply -> {
                    String leader = loop.core().node().leaderAddress();
                    ControlState state = loop.core().state();
                    if (loop.lease().current().isPresent()) {
                        FleetStatus status =
                                new FleetStatus(
                                        leader,
                                        state.view().revision(),
                                        loop.monitor().liveStatuses(state.view()));
                        reply.complete(new FleetRequest.FleetReply(Optional.of(status), leader));
                    } else if (request.forwarded()
                            || leader.isEmpty()
                            || leader.equals(settings.address())) {
                        reply.complete(new FleetRequest.FleetReply(Optional.empty(), leader));
                    } else {
                        transport
                                .call(leader, new FleetRequest(true), FORWARD_TIMEOUT_MS)
                                .exceptionally(
                                        failure ->
                                                new FleetRequest.FleetReply(
                                                        Optional.empty(), leader))
                                .thenAccept(reply::complete);
                    }
                });
    }

    private CompletableFuture<ReportPeerRequest.ReportPeerReply> onReportPeer(
            ReportPeerRequest request) {
        ReportPeerRequest.ReportPeerReply refused = new ReportPeerRequest.ReportPeerReply(false);
        return loop.call(
                refused,
                reply -> {
                    String leader = loop.core().node().leaderAddress();
                    if (loop.lease().current().isPresent()) {
                        reply.complete(
                                new ReportPeerRequest.ReportPeerReply(evictReported(request)));
                    } else if (request.forwarded()
                            || leader.isEmpty()
                            || leader.equals(settings.address())) {
                        reply.complete(refused);
                    } else {
                        ReportPeerRequest forwarded =
                                new ReportPeerRequest(request.reporter(), request.reported(), true);
                        transport
                                .call(leader, forwarded, FORWARD_TIMEOUT_MS)
                                .exceptionally(failure -> refused)
                                .thenAccept(reply::complete);
                    }
                });
    }

    private boolean evictReported(ReportPeerRequest request) {
        boolean accepted =
                loop.monitor()
                        .acceptReport(
                                loop.core().state().view(),
                                request.reporter(),
                                request.reported(),
                                clock.nowMs());
        if (accepted) {
            LOG.infof(
                    "SAP1006 evicting %s: reported by %s", request.reported(), request.reporter());
            loop.core()
                    .propose(
                            new ControlCommand.EvictInstances(
                                    List.of(request.reported()),
                                    "reported by " + request.reporter()));
        }
        return accepted;
    }
}
