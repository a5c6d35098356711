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
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;

/**
 * Joins the fleet and follows the control log. Owner of the parts {@code control}, {@code
 * freshness} and {@code self} of the blackboard. Thread-safe; all work runs on one thread.
 */
public final class ControlWatcher {

    /** Bound on the time after which a change is in force or refused everywhere. */
    public static final long CONFIG_LEASE_MS = 3_000;

    private static final Logger LOG = Logger.getLogger(ControlWatcher.class);

    /** Below 500 ms, so that three heartbeats fit into the time to eviction. */
    private static final long WAIT_MS = 400;

    private static final long REPLY_GRACE_MS = 350;
    private static final long JOIN_TIMEOUT_MS = 2_000;
    private static final long RETRY_DELAY_MS = 25;

    private final InstanceInfo info;
    private final VoterDirectory voters;
    private final PeerTransport transport;
    private final ControlClient client;
    private final Blackboard blackboard;
    private final Supplier<InstanceStatus> status;
    private final MillisClock clock;
    private final RandomGenerator random;
    private final ScheduledExecutorService executor;
    private volatile boolean stopped;
    private boolean leaving;
    private int voterPosition;
    private String clusterId = "";
    private String joinId;
    private long joinedIndex;
    private Optional<InstanceRef> retainedFrom = Optional.empty();

    /**
     * Creates a watcher; {@link #start()} must be called then.
     *
     * @param info description of this instance; its incarnation is only a proposal
     * @param voters addresses of the voters
     * @param transport sends the long polls
     * @param client submits joins and leaves
     * @param blackboard where the state is published
     * @param status current report of this instance, called before each long poll; the watcher sets
     *     the incarnation and the revision
     * @param clock monotonic clock
     * @param random source of randomness for join ids
     */
    public ControlWatcher(
            InstanceInfo info,
            VoterDirectory voters,
            PeerTransport transport,
            ControlClient client,
            Blackboard blackboard,
            Supplier<InstanceStatus> status,
            MillisClock clock,
            RandomGenerator random) {
        this.info = Objects.requireNonNull(info, "info");
        this.voters = Objects.requireNonNull(voters, "voters");
        this.transport = Objects.requireNonNull(transport, "transport");
        this.client = Objects.requireNonNull(client, "client");
        this.blackboard = Objects.requireNonNull(blackboard, "blackboard");
        this.status = Objects.requireNonNull(status, "status");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.random = Objects.requireNonNull(random, "random");
        this.voterPosition = Math.floorMod(info.ref().id().hashCode(), voters.addresses().size());
        this.executor =
                Executors.newSingleThreadScheduledExecutor(
                        DaemonThreads.namedFactory("control-watcher"));
    }

    /** Joins the fleet and follows the control log until {@link #stop()}. */
    public void start() {
        execute(this::join);
    }

    /**
     * Ends the membership of this instance for a planned stop. The instance does not join again.
     *
     * @param timeoutMs time after which the call fails, in milliseconds
     * @return completes when the end is in the control log, or fails with {@link ControlException};
     *     the leader evicts the instance then
     */
    public CompletableFuture<Void> leave(long timeoutMs) {
        CompletableFuture<Void> left = new CompletableFuture<>();
        execute(
                () -> {
                    leaving = true;
                    Optional<InstanceRef> self = blackboard.self().read();
                    if (self.isEmpty()) {
                        left.complete(null);
                        return;
                    }
                    client.submit(
                                    new ControlCommand.EvictInstances(
                                            List.of(self.get()), "planned stop"),
                                    timeoutMs)
                            .whenComplete(
                                    (result, failure) -> {
                                        if (failure != null) {
                                            left.completeExceptionally(failure);
                                        } else {
                                            left.complete(null);
                                        }
                                    });
                });
        return left;
    }

    /** Stops following the control log. Freshness ends by itself. */
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
                                                joined(joined);
                                            } else {
                                                LOG.debugf("join not answered: %s", failure);
                                                schedule(this::join);
                                            }
                                        }));
    }

    private void joined(ControlResult.Joined joined) {
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
        InstanceStatus sent;
        try {
            sent = report(self.get(), revision);
        } catch (RuntimeException e) {
            // Without a report there must still be heartbeats later.
            LOG.errorf(e, "SAP1013 no report of %s", self.get());
            schedule(this::poll);
            return;
        }
        List<String> addresses = voters.addresses();
        String address = addresses.get(voterPosition % addresses.size());
        long sentMs = clock.nowMs();
        transport
                .call(address, new WatchRequest(sent, revision, WAIT_MS), WAIT_MS + REPLY_GRACE_MS)
                .whenComplete((reply, failure) -> execute(() -> answered(sentMs, reply, failure)));
    }

    private InstanceStatus report(InstanceRef self, long revision) {
        InstanceStatus report = status.get();
        return new InstanceStatus(
                self,
                revision,
                report.readiness(),
                report.ownedRunning(),
                report.inFlight(),
                report.unreadable());
    }

    private void answered(long sentMs, WatchReply reply, Throwable failure) {
        if (failure != null || !isOwnCluster(reply)) {
            tryNextVoter();
            return;
        }
        boolean current = publish(reply);
        if (!reply.confirmed() || !current) {
            tryNextVoter();
            return;
        }
        // The lease starts when the request was sent; the state was confirmed after that.
        ConfigurationLease lease = new ConfigurationLease(sentMs + CONFIG_LEASE_MS);
        blackboard.configurationLease().update(previous -> previous.max(lease));
        if (reply.evicted() && reply.revision() >= joinedIndex) {
            rejoin();
        } else {
            poll();
        }
    }

    /** The first cluster that answers is the only one that is followed. */
    private boolean isOwnCluster(WatchReply reply) {
        if (reply.clusterId().isEmpty()) {
            return false;
        }
        if (clusterId.isEmpty() && reply.confirmed()) {
            clusterId = reply.clusterId();
        }
        if (!clusterId.isEmpty() && !clusterId.equals(reply.clusterId())) {
            LOG.warnf("SAP1011 ignored cluster %s, following %s", reply.clusterId(), clusterId);
        }
        return clusterId.equals(reply.clusterId());
    }

    /** Publishes a newer view; returns whether the published view is the one of the reply. */
    private boolean publish(WatchReply reply) {
        ControlView current = blackboard.control().read();
        ControlView next = current;
        if (reply.view().isPresent()) {
            next = reply.view().get();
        } else if (reply.delta().isPresent()
                && reply.delta().get().fromRevision() == current.revision()) {
            next = reply.delta().get().applyTo(current);
        }
        if (next.revision() > current.revision()) {
            blackboard.control().publish(next);
        }
        return blackboard.control().read().revision() == reply.revision();
    }

    private void rejoin() {
        Optional<InstanceRef> self = blackboard.self().read();
        LOG.infof("SAP1012 %s was evicted", self.map(InstanceRef::toString).orElse("instance"));
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
            executor.execute(task);
        } catch (RejectedExecutionException e) {
            LOG.debug("the watcher has stopped");
        }
    }

    private void schedule(Runnable task) {
        try {
            executor.schedule(task, RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            LOG.debug("the watcher has stopped");
        }
    }
}
