package io.sapphirestack.runtime.control;

import io.sapphirestack.core.blackboard.ConfigurationLease;
import io.sapphirestack.core.control.ControlCommand;
import io.sapphirestack.core.control.ControlResult;
import io.sapphirestack.core.control.ControlView;
import io.sapphirestack.core.control.InstanceInfo;
import io.sapphirestack.core.control.InstanceStatus;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.blackboard.Blackboard;
import io.sapphirestack.runtime.concurrent.DaemonThreads;
import io.sapphirestack.runtime.transport.PeerTransport;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;

/**
 * Joins the fleet and keeps the control view of this instance up to date by long polls to a voter,
 * which are also its heartbeats. Only this class publishes the parts {@code control}, {@code
 * configurationLease} and {@code self} of the blackboard. Thread-safe; all tasks run on one thread.
 */
public final class ControlWatcher {

    /**
     * Duration of the configuration lease. It bounds the time after which every instance either
     * applies an accepted change or refuses requests.
     */
    public static final long CONFIGURATION_LEASE_MS = 3_000;

    private static final Logger LOG = Logger.getLogger(ControlWatcher.class);

    /**
     * Maximum duration of a long poll. It is below 500 ms, so that three heartbeats fit into the
     * eviction timeout.
     */
    private static final long WATCH_WAIT_MS = 400;

    private static final long REPLY_MARGIN_MS = 350;
    private static final long JOIN_TIMEOUT_MS = 2_000;
    private static final long RETRY_DELAY_MS = 25;

    private final InstanceInfo info;
    private final VoterDirectory voters;
    private final PeerTransport transport;
    private final ControlClient client;
    private final Blackboard blackboard;
    private final Supplier<InstanceStatus> statusSupplier;
    private final MillisClock clock;
    private final RandomGenerator random;
    private final Random shuffling;
    private final ScheduledExecutorService executor;
    private volatile boolean stopped;
    private boolean leaving;
    private int voterPosition;
    private String clusterId = "";
    private String joinId;
    private long joinedIndex;
    private Optional<InstanceRef> retainedFrom = Optional.empty();
    private final PendingView pendingView;

    /**
     * Creates a watcher. {@link #start()} must be called to run it.
     *
     * @param info description of this instance; the control log assigns the actual incarnation when
     *     the instance joins
     * @param voters addresses of the voters
     * @param transport sends the long polls
     * @param client submits the commands for joining and leaving
     * @param blackboard blackboard on which the state is published
     * @param statusSupplier returns the current status of this instance, called before each long
     *     poll; the watcher replaces its incarnation and revision
     * @param clock monotonic clock
     * @param random source of randomness for join ids
     */
    public ControlWatcher(
            InstanceInfo info,
            VoterDirectory voters,
            PeerTransport transport,
            ControlClient client,
            Blackboard blackboard,
            Supplier<InstanceStatus> statusSupplier,
            MillisClock clock,
            RandomGenerator random) {
        this.info = Objects.requireNonNull(info, "info");
        this.voters = Objects.requireNonNull(voters, "voters");
        this.transport = Objects.requireNonNull(transport, "transport");
        this.client = Objects.requireNonNull(client, "client");
        this.blackboard = Objects.requireNonNull(blackboard, "blackboard");
        this.statusSupplier = Objects.requireNonNull(statusSupplier, "statusSupplier");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.random = Objects.requireNonNull(random, "random");
        this.shuffling = new Random(random.nextLong());
        this.voterPosition = Math.floorMod(info.ref().id().hashCode(), voters.addresses().size());
        this.executor = DaemonThreads.scheduler("control-watcher", 1);
        this.pendingView =
                new PendingView(
                        new ContentFetcher(transport, this::contentHolders, this::schedule, clock),
                        blackboard.control()::publish);
    }

    /** Joins the fleet and follows the control log until {@link #stop()}. */
    public void start() {
        execute(this::join);
    }

    /**
     * Removes this instance from the fleet before a planned stop. It does not join again.
     *
     * @param timeoutMs timeout of the call, in milliseconds
     * @return future that completes when the control log has applied the removal, or at once if the
     *     instance has not joined. It fails with {@link ControlException} if there is no
     *     confirmation; the leader then evicts the instance when its heartbeats stop.
     */
    public CompletableFuture<Void> leave(long timeoutMs) {
        CompletableFuture<Void> result = new CompletableFuture<>();
        execute(
                () -> {
                    leaving = true;
                    Optional<InstanceRef> self = blackboard.self().read();
                    if (self.isEmpty()) {
                        result.complete(null);
                        return;
                    }
                    client.submit(
                                    new ControlCommand.EvictInstances(
                                            List.of(self.get()), "planned stop"),
                                    timeoutMs)
                            .whenComplete(
                                    (response, failure) -> {
                                        if (failure != null) {
                                            result.completeExceptionally(failure);
                                        } else {
                                            result.complete(null);
                                        }
                                    });
                });
        return result;
    }

    /** Stops following the control log. The configuration lease is not renewed and expires. */
    public void stop() {
        stopped = true;
        executor.shutdown();
    }

    private void join() {
        if (stopped || leaving) {
            return;
        }
        if (joinId == null) {
            joinId = Long.toHexString(random.nextLong()) + Long.toHexString(random.nextLong());
        }
        client.submit(new ControlCommand.JoinInstance(info, joinId, retainedFrom), JOIN_TIMEOUT_MS)
                .whenComplete(
                        (result, failure) ->
                                execute(
                                        () -> {
                                            if (result instanceof ControlResult.Joined joined) {
                                                onJoined(joined);
                                            } else {
                                                LOG.debugf("join failed, retrying: %s", failure);
                                                schedule(this::join);
                                            }
                                        }));
    }

    private void onJoined(ControlResult.Joined joined) {
        joinId = null;
        joinedIndex = joined.index();
        retainedFrom = Optional.empty();
        LOG.infof("SAP1010 joined as %s", joined.ref());
        blackboard.self().publish(Optional.of(joined.ref()));
        poll();
    }

    private void poll() {
        Optional<InstanceRef> self = blackboard.self().read();
        if (stopped || self.isEmpty()) {
            return;
        }
        long revision = blackboard.control().read().revision();
        InstanceStatus sentStatus = currentStatus(self.get(), revision);
        List<String> addresses = voters.addresses();
        String address = addresses.get(voterPosition % addresses.size());
        long sentMs = clock.nowMs();
        transport
                .call(
                        address,
                        new WatchRequest(
                                sentStatus, revision, WATCH_WAIT_MS, pendingView.revision(), true),
                        WATCH_WAIT_MS + REPLY_MARGIN_MS)
                .whenComplete(
                        (reply, failure) -> execute(() -> onWatchReply(sentMs, reply, failure)));
    }

    private InstanceStatus currentStatus(InstanceRef self, long revision) {
        InstanceStatus status = statusSupplier.get();
        return new InstanceStatus(
                self,
                revision,
                status.readiness(),
                status.ownedRunning(),
                status.inFlight(),
                status.unreadable());
    }

    private void onWatchReply(long sentMs, WatchReply reply, Throwable failure) {
        if (failure != null || !isOwnCluster(reply)) {
            tryNextVoter();
            return;
        }
        boolean isCurrent = publishView(reply);
        boolean isPending = pendingView.revision() == reply.revision();
        if (!reply.confirmed() || !isCurrent && !isPending) {
            tryNextVoter();
            return;
        }
        if (isCurrent) {
            // The lease counts from the sending of the request, because the leadership was
            // confirmed after that.
            ConfigurationLease lease = new ConfigurationLease(sentMs + CONFIGURATION_LEASE_MS);
            blackboard.configurationLease().update(previous -> previous.max(lease));
        }
        voters.recordLeader(reply.leader());
        if (reply.evicted() && reply.revision() >= joinedIndex) {
            rejoin();
        } else {
            poll();
        }
    }

    /**
     * Returns whether a reply comes from the cluster that this instance follows, which is that of
     * the first confirmed reply.
     */
    private boolean isOwnCluster(WatchReply reply) {
        if (reply.clusterId().isEmpty()) {
            return false;
        }
        if (clusterId.isEmpty() && reply.confirmed()) {
            clusterId = reply.clusterId();
        }
        if (!clusterId.isEmpty() && !clusterId.equals(reply.clusterId())) {
            LOG.warnf(
                    "SAP1011 ignored a reply from cluster %s; following cluster %s",
                    reply.clusterId(), clusterId);
        }
        return clusterId.equals(reply.clusterId());
    }

    /**
     * Publishes the view of the reply if it is newer, or fetches the contents that it lacks first.
     * Returns whether the published view then has the revision of the reply.
     */
    private boolean publishView(WatchReply reply) {
        ControlView current = blackboard.control().read();
        ControlView next = current;
        if (reply.view().isPresent()) {
            next = reply.view().get();
        } else if (reply.delta().isPresent()
                && reply.delta().get().fromRevision() == current.revision()) {
            next = reply.delta().get().applyTo(current);
        }
        if (next.revision() > Math.max(current.revision(), pendingView.revision())) {
            pendingView.offer(next, current);
        }
        return blackboard.control().read().revision() == reply.revision();
    }

    /**
     * Returns the instances that may hold a content, in the order to ask them: the voter in this
     * process, one neighbour in the own availability zone, the voters there, and the other voters.
     */
    private List<String> contentHolders() {
        List<String> voterAddresses = new ArrayList<>(voters.addresses());
        Collections.shuffle(voterAddresses, shuffling);
        List<String> inZone = new ArrayList<>();
        for (InstanceInfo other : blackboard.control().read().instances().values()) {
            if (other.availabilityZone().equals(info.availabilityZone())
                    && !other.ref().id().equals(info.ref().id())) {
                inZone.add(other.peerAddress());
            }
        }
        Collections.shuffle(inZone, shuffling);
        Set<String> ordered = new LinkedHashSet<>();
        if (voterAddresses.contains(info.peerAddress())) {
            ordered.add(info.peerAddress());
        }
        inZone.stream().filter(a -> !voterAddresses.contains(a)).limit(1).forEach(ordered::add);
        inZone.stream().filter(voterAddresses::contains).forEach(ordered::add);
        ordered.addAll(voterAddresses);
        return List.copyOf(ordered);
    }

    private void rejoin() {
        Optional<InstanceRef> self = blackboard.self().read();
        LOG.infof(
                "SAP1012 %s was evicted; joining again",
                self.map(InstanceRef::toString).orElse("instance"));
        blackboard.self().publish(Optional.empty());
        retainedFrom = self;
        join();
    }

    private void tryNextVoter() {
        voterPosition = (voterPosition + 1) % voters.addresses().size();
        schedule(this::poll);
    }

    private void execute(Runnable task) {
        try {
            executor.execute(() -> runStep(task));
        } catch (RejectedExecutionException e) {
            LOG.debug("task rejected: the watcher has stopped");
        }
    }

    private void schedule(Runnable task) {
        schedule(task, RETRY_DELAY_MS);
    }

    private void schedule(Runnable task, long delayMs) {
        try {
            executor.schedule(() -> runStep(task), delayMs, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            LOG.debug("task rejected: the watcher has stopped");
        }
    }

    /**
     * Runs one step. Each step requests the next one, so a step that fails must be followed by
     * another: without heartbeats the instance would be evicted, and it would never learn a change
     * again.
     */
    private void runStep(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            LOG.errorf(e, "SAP1013 a step of the watcher failed; it goes on with the next one");
            schedule(this::resume);
        }
    }

    private void resume() {
        if (blackboard.self().read().isPresent()) {
            poll();
        } else {
            join();
        }
    }
}
