package io.sapphirestack.daemon.relay;

import io.sapphirestack.core.blackboard.Readiness;
import io.sapphirestack.core.control.ControlView;
import io.sapphirestack.core.control.InstanceInfo;
import io.sapphirestack.core.control.InstanceStatus;
import io.sapphirestack.core.id.InstanceId;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.core.limit.AccountUsageTable;
import io.sapphirestack.core.limit.RetryUsageTable;
import io.sapphirestack.core.record.RecordSpecResolver;
import io.sapphirestack.core.relay.CallerLimits;
import io.sapphirestack.core.relay.EndpointHealth;
import io.sapphirestack.core.relay.FleetRetryBudget;
import io.sapphirestack.core.relay.RelayPlacement;
import io.sapphirestack.core.relay.RelayWorkKind;
import io.sapphirestack.core.relay.TrafficPlan;
import io.sapphirestack.core.replication.ReplicationSettings;
import io.sapphirestack.core.routing.EndpointState;
import io.sapphirestack.core.routing.InFlightTracker;
import io.sapphirestack.core.routing.PrefixIndex;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.daemon.DaemonException;
import io.sapphirestack.daemon.LocalVoter;
import io.sapphirestack.daemon.ManagedInstance;
import io.sapphirestack.daemon.PeerListener;
import io.sapphirestack.daemon.PlannedStopRecord;
import io.sapphirestack.runtime.blackboard.Blackboard;
import io.sapphirestack.runtime.concurrent.DaemonThreads;
import io.sapphirestack.runtime.control.ControlService;
import io.sapphirestack.runtime.control.ControlWatcher;
import io.sapphirestack.runtime.control.DefaultControlClient;
import io.sapphirestack.runtime.control.VoterDirectory;
import io.sapphirestack.runtime.control.VoterDiscovery;
import io.sapphirestack.runtime.endpoint.DisseminationBlackboardParts;
import io.sapphirestack.runtime.endpoint.DisseminationService;
import io.sapphirestack.runtime.endpoint.DisseminationSources;
import io.sapphirestack.runtime.endpoint.EndpointRegistry;
import io.sapphirestack.runtime.error.ServiceException;
import io.sapphirestack.runtime.metrics.EventLog;
import io.sapphirestack.runtime.metrics.Metrics;
import io.sapphirestack.runtime.relay.RelayContext;
import io.sapphirestack.runtime.relay.RelayHeaders;
import io.sapphirestack.runtime.relay.RelayListener;
import io.sapphirestack.runtime.relay.TrafficRelay;
import io.sapphirestack.runtime.storage.DiskLogStore;
import io.sapphirestack.runtime.transport.PeerTransport;
import io.sapphirestack.runtime.transport.TcpPeerTransport;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * Composes an instance that relays requests. An adapter supplies the names of header fields and the
 * form of traffic plans, and passes on what endpoints, operators and callers ask.
 */
public final class RelayAssembly implements ManagedInstance {

    private static final EventLog LOG = EventLog.of(RelayAssembly.class);
    private static final int SCHEDULER_THREADS = 2;
    private static final int SPREAD_FAN_OUT = 3;

    /**
     * Relayed endpoints report no load, so the work of other instances is all that placement knows.
     * Changes of so many endpoints in every batch are 24 KB/s for a neighbour.
     */
    private static final int WORK_LIMIT_ENDPOINTS = 400;

    private static final long LEARN_VOTERS_MS = 300;
    private static final long STOP_TIMEOUT_MS = 2_000;
    private static final long CLOSE_WAIT_MS = 1_000;

    private final RelaySettings settings;
    private final PeerListener listener;
    private final MillisClock clock = MillisClock.monotonic();
    private final Blackboard blackboard = Blackboard.create();
    private final DisseminationBlackboardParts spreadParts = DisseminationBlackboardParts.create();
    private final Metrics metrics = new Metrics();
    private final SecureRandom random = new SecureRandom();
    private final ScheduledThreadPoolExecutor scheduler;
    private final PeerTransport transport;
    private final VoterDirectory voters;
    private final VoterDiscovery voterFinder;
    private final DefaultControlClient control;
    private final LocalVoter voter;
    private final InFlightTracker inFlight;
    private final FleetRetryBudget repeats;
    private final EndpointRegistry registry;
    private final DisseminationService spread;
    private final TrafficPlans plans;
    private final TrafficRelay relay;
    private final RelayListener callers;
    private final ControlWatcher watcher;
    private final RelayLifecycle lifecycle;

    /**
     * Composes an instance; nothing runs before {@link #start()}.
     *
     * @param settings checked settings
     * @param listener bound peer address, owned by this object from now on
     * @param headers names of header fields
     * @param decoder reads the text of traffic plans
     * @throws ServiceException if the address for callers cannot be bound
     */
    public RelayAssembly(
            RelaySettings settings,
            PeerListener listener,
            RelayHeaders headers,
            TrafficPlans.Decoder decoder)
            throws ServiceException {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.listener = Objects.requireNonNull(listener, "listener");
        this.scheduler = DaemonThreads.scheduler(SCHEDULER_THREADS);
        this.transport =
                new TcpPeerTransport(
                        listener.loop(),
                        listener.address(),
                        settings.clusterKey(),
                        listener.handlers());
        this.voters = new VoterDirectory(settings.voters());
        this.voterFinder = new VoterDiscovery(voters, transport, this::instanceAddresses);
        voterFinder.register(listener.handlers());
        this.control = new DefaultControlClient(voters, transport, scheduler, clock);
        this.voter = new LocalVoter(settings.dataFolder(), this::voter);
        this.inFlight = new InFlightTracker(clock);
        this.repeats =
                new FleetRetryBudget(
                        settings.repeats(),
                        this::liveInstances,
                        service -> spreadParts.retryBudgetUse().read().of(service),
                        clock);
        this.registry =
                new EndpointRegistry(
                        blackboard.endpoints(), name -> Optional.empty(), new PrefixIndex(), clock);
        this.spread = spread();
        this.plans = new TrafficPlans(control, blackboard.control()::read, decoder);
        this.relay = new TrafficRelay(context(headers));
        this.callers =
                new RelayListener(
                        "caller",
                        settings.callerListen(),
                        settings.maxConnections(),
                        relay,
                        this::callerLimits,
                        clock);
        registerGauges();
        this.watcher = watcher();
        this.lifecycle =
                new RelayLifecycle(
                        blackboard,
                        () -> plans.current().isPresent(),
                        new PlannedStopRecord(control, blackboard.control()::read, STOP_TIMEOUT_MS),
                        watcher,
                        voter.service(),
                        callers,
                        relay,
                        settings.graceMs(),
                        clock);
    }

    private ControlService voter(Path dataFolder) {
        return new ControlService(
                ReplicationSettings.withDefaults(
                        listener.address(),
                        settings.voters(),
                        new ReplicationSettings.VoterPolicy(
                                true,
                                settings.isFirstStart(),
                                settings.minVoters(),
                                voters::discoveryAddresses)),
                new DiskLogStore(dataFolder.resolve("control")),
                transport,
                listener.handlers(),
                clock,
                MillisClock.wall(),
                random,
                new RecordSpecResolver());
    }

    private List<String> instanceAddresses() {
        return blackboard.control().read().instances().values().stream()
                .map(InstanceInfo::peerAddress)
                .toList();
    }

    private void learnVoters() {
        voter.service().ifPresent(service -> service.voters().thenAccept(voters::updateIfNewer));
    }

    private DisseminationService spread() {
        DisseminationService service =
                new DisseminationService(
                        transport,
                        blackboard.control(),
                        blackboard.self(),
                        registry,
                        spreadParts,
                        new DisseminationSources(
                                () -> AccountUsageTable.EMPTY,
                                account -> false,
                                inFlight::snapshot,
                                () -> RetryUsageTable.ofServices(repeats.localUsage()),
                                WORK_LIMIT_ENDPOINTS),
                        SPREAD_FAN_OUT,
                        clock);
        service.register(listener.handlers());
        return service;
    }

    private RelayContext context(RelayHeaders headers) {
        EndpointHealth health = new EndpointHealth(clock);
        return new RelayContext(
                headers,
                plans::current,
                blackboard.endpoints()::read,
                new RelayPlacement(
                        settings.instance().availabilityZone(),
                        this::workAt,
                        health,
                        () -> ThreadLocalRandom.current().nextDouble()),
                health,
                inFlight,
                repeats,
                metrics,
                clock);
    }

    private void registerGauges() {
        metrics.registerGauge(
                "sapphire_traffic_plan_version",
                "Version of the traffic plan in force, 0 for none.",
                () -> plans.current().map(TrafficPlan::version).orElse(0L));
        metrics.registerGauge(
                "sapphire_endpoints_known",
                "Endpoints that this instance knows.",
                () -> blackboard.endpoints().read().byId().size());
        metrics.registerGauge(
                "sapphire_caller_connections",
                "Open connections of callers.",
                callers::openConnections);
        metrics.registerGauge(
                "sapphire_peer_transferred_bytes",
                "Bytes sent to and received from other instances.",
                () -> listener.loop().transferredBytes());
    }

    private double workAt(EndpointState endpoint) {
        int otherUnits = spreadParts.inFlight().read().of(endpoint.id(), endpoint.epochMs());
        return RelayWorkKind.toRequests(inFlight.inFlight(endpoint.id()) + otherUnits);
    }

    private int liveInstances() {
        return Math.max(1, blackboard.control().read().instances().size());
    }

    private CallerLimits callerLimits() {
        return plans.current().map(TrafficPlan::limits).orElse(CallerLimits.DEFAULT);
    }

    private ControlWatcher watcher() {
        // The state machine raises the incarnation above every earlier one.
        InstanceInfo info =
                new InstanceInfo(
                        new InstanceRef(InstanceId.of(settings.instance().id()), 1),
                        settings.instance().availabilityZone(),
                        settings.instance().region(),
                        listener.address(),
                        settings.callerListen(),
                        RecordSpecResolver.CURRENT_READER_VERSION);
        return new ControlWatcher(
                info,
                voters,
                transport,
                control,
                blackboard,
                () -> status(info.ref()),
                clock,
                random);
    }

    private InstanceStatus status(InstanceRef ref) {
        return new InstanceStatus(
                ref,
                blackboard.control().read().revision(),
                blackboard.readiness().read(),
                relay.openRequests(),
                Map.of(),
                List.of());
    }

    @Override
    public void start() throws DaemonException {
        listener.start();
        voter.start();
        watcher.start();
        voterFinder.start(scheduler);
        scheduler.scheduleWithFixedDelay(
                this::learnVoters, LEARN_VOTERS_MS, LEARN_VOTERS_MS, TimeUnit.MILLISECONDS);
        spread.start(scheduler);
        callers.start(scheduler);
        lifecycle.start(scheduler);
        LOG.info(
                "SAP1302",
                "Instance is starting",
                "instance",
                settings.instance().id(),
                "availabilityZone",
                settings.instance().availabilityZone(),
                "peer",
                listener.address(),
                "voter",
                voter.service().isPresent());
    }

    /**
     * Takes over the part of changed settings that a running instance can use: where to look for
     * the voters.
     *
     * @param changed settings that were read again
     */
    public void reload(RelaySettings changed) {
        voters.replaceConfigured(changed.voters());
    }

    /** Returns the plans of the operator. */
    public TrafficPlans plans() {
        return plans;
    }

    /** Returns the receiver of what endpoints tell about themselves. */
    public EndpointRegistry endpoints() {
        return registry;
    }

    /** Returns whether callers should use this instance. */
    public boolean isReady() {
        return blackboard.readiness().read() == Readiness.READY;
    }

    /** Returns the metrics of this instance. */
    public Metrics metrics() {
        return metrics;
    }

    /** Returns the clock of this instance. */
    public MillisClock clock() {
        return clock;
    }

    /** Returns the scheduler of this instance. */
    public ScheduledExecutorService scheduler() {
        return scheduler;
    }

    /**
     * Returns the instances that callers should use: those of their availability zone if there are
     * at least two, else all.
     *
     * @param availabilityZone availability zone of the caller
     * @return addresses for callers, possibly none
     */
    public List<String> addresses(String availabilityZone) {
        ControlView view = blackboard.control().read();
        return CallerAddresses.choose(
                view.instances().values().stream()
                        .filter(info -> PlannedStopRecord.find(view, info.ref()).isEmpty())
                        .toList(),
                availabilityZone);
    }

    @Override
    public void planStop() {
        lifecycle.planStop();
    }

    @Override
    public CompletableFuture<Void> stopCompletion() {
        return lifecycle.left();
    }

    @Override
    public void close() {
        callers.close();
        relay.close();
        spread.close();
        watcher.stop();
        voter.stop(CLOSE_WAIT_MS);
        listener.close();
        scheduler.shutdownNow();
    }
}
