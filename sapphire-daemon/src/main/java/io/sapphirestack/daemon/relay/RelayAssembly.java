package io.sapphirestack.daemon.relay;

import io.sapphirestack.core.blackboard.Readiness;
import io.sapphirestack.core.control.InstanceInfo;
import io.sapphirestack.core.control.InstanceStatus;
import io.sapphirestack.core.id.InstanceId;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.core.limit.AccountUsageTable;
import io.sapphirestack.core.limit.ByteBudget;
import io.sapphirestack.core.limit.RetryUsageTable;
import io.sapphirestack.core.record.RecordSpecResolver;
import io.sapphirestack.core.relay.CallerLimits;
import io.sapphirestack.core.relay.CompletionEstimator;
import io.sapphirestack.core.relay.EndpointHealth;
import io.sapphirestack.core.relay.EndpointRateLimiter;
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
import io.sapphirestack.runtime.control.ContentServer;
import io.sapphirestack.runtime.control.ControlService;
import io.sapphirestack.runtime.control.ControlWatcher;
import io.sapphirestack.runtime.control.DefaultControlClient;
import io.sapphirestack.runtime.control.VoterDirectory;
import io.sapphirestack.runtime.control.VoterDiscovery;
import io.sapphirestack.runtime.endpoint.AnnouncementService;
import io.sapphirestack.runtime.endpoint.DisseminationBlackboardParts;
import io.sapphirestack.runtime.endpoint.DisseminationService;
import io.sapphirestack.runtime.endpoint.DisseminationSources;
import io.sapphirestack.runtime.endpoint.EndpointRegistry;
import io.sapphirestack.runtime.error.ServiceException;
import io.sapphirestack.runtime.metrics.EventLog;
import io.sapphirestack.runtime.metrics.Metrics;
import io.sapphirestack.runtime.relay.CopyOrderNames;
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
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * Creates and connects the components of an instance that relays requests. An adapter supplies the
 * names of header fields and the format of traffic plans, and forwards the requests of endpoints,
 * operators and callers to this class.
 */
public final class RelayAssembly implements ManagedInstance {

    private static final EventLog LOG = EventLog.of(RelayAssembly.class);
    private static final int SCHEDULER_THREADS = 2;
    private static final int DISSEMINATION_FAN_OUT = 3;

    /**
     * Maximum number of endpoints whose requests in flight one dissemination batch reports. Relayed
     * endpoints report no load, so placement knows the load that other instances cause only from
     * these reports. At this limit the batches to one neighbor take 24 KB/s.
     */
    private static final int IN_FLIGHT_REPORT_LIMIT_ENDPOINTS = 400;

    private static final long LEARN_VOTERS_INTERVAL_MS = 300;
    private static final long STOP_TIMEOUT_MS = 2_000;
    private static final long VOTER_STOP_TIMEOUT_MS = 1_000;

    private final RelaySettings settings;
    private final PeerListener listener;
    private final MillisClock clock = MillisClock.monotonic();
    private final Blackboard blackboard = Blackboard.create();
    private final DisseminationBlackboardParts disseminationParts =
            DisseminationBlackboardParts.create();
    private final Metrics metrics = new Metrics();
    private final SecureRandom random = new SecureRandom();
    private final ScheduledThreadPoolExecutor scheduler;
    private final ExecutorService planDecoder =
            Executors.newSingleThreadExecutor(DaemonThreads.namedFactory("plan-decoder"));
    private final PeerTransport transport;
    private final VoterDirectory voters;
    private final VoterDiscovery voterDiscovery;
    private final DefaultControlClient control;
    private final LocalVoter localVoter;
    private final InFlightTracker inFlight;
    private final FleetRetryBudget retryBudget;
    private final EndpointKnowledge knowledge;
    private final ByteBudget messageMemory;
    private final EndpointRegistry endpointRegistry;
    private final DisseminationService dissemination;
    private final AnnouncementService announcements;
    private final TrafficPlanStore trafficPlans;
    private final RolloutAssembly rollouts;
    private final TrafficRelay relay;
    private final RelayListener callerListener;
    private final ControlWatcher watcher;
    private final RelayLifecycle lifecycle;

    /**
     * Creates the components; none of them runs before {@link #start()}.
     *
     * @param settings validated settings
     * @param listener listener on the peer address; this object closes it
     * @param headers names of the HTTP header fields
     * @param copyOrders names in the orders for standby copies
     * @param decoder parses traffic plans
     * @throws ServiceException if the caller address cannot be bound
     */
    public RelayAssembly(
            RelaySettings settings,
            PeerListener listener,
            RelayHeaders headers,
            CopyOrderNames copyOrders,
            TrafficPlanStore.Decoder decoder)
            throws ServiceException {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.listener = Objects.requireNonNull(listener, "listener");
        this.scheduler = DaemonThreads.scheduler("scheduler", SCHEDULER_THREADS);
        this.transport =
                new TcpPeerTransport(
                        listener.loop(),
                        listener.address(),
                        settings.clusterKey(),
                        listener.handlers());
        this.voters = new VoterDirectory(settings.voters());
        this.voterDiscovery =
                new VoterDiscovery(
                        listener.address(),
                        voters,
                        transport,
                        this::instanceAddresses,
                        () -> blackboard.configurationLease().read().isValidAt(clock.nowMs()),
                        clock,
                        random);
        voterDiscovery.register(listener.handlers());
        this.control = new DefaultControlClient(voters, transport, scheduler, clock);
        this.localVoter = new LocalVoter(settings.dataFolder(), this::createControlService);
        this.inFlight = new InFlightTracker(clock);
        this.retryBudget =
                new FleetRetryBudget(
                        settings.retryBudget(),
                        this::liveInstanceCount,
                        service -> disseminationParts.retryBudgetUse().read().of(service),
                        clock);
        this.knowledge = EndpointKnowledge.empty(settings.signals(), random.nextLong(), clock);
        this.messageMemory =
                new ByteBudget(
                        settings.messages().memoryBytes(), settings.messages().accountFraction());
        this.trafficPlans = createTrafficPlans(decoder);
        this.endpointRegistry = createEndpointRegistry();
        this.rollouts =
                new RolloutAssembly(
                        control,
                        blackboard.control(),
                        trafficPlans,
                        blackboard.endpoints(),
                        disseminationParts.versionCounts(),
                        localVoter);
        this.dissemination = createDissemination();
        this.announcements = new AnnouncementService(endpointRegistry, dissemination);
        this.relay = new TrafficRelay(createRelayContext(headers, copyOrders));
        this.callerListener =
                new RelayListener(
                        "caller",
                        settings.callerListen(),
                        settings.maxConnections(),
                        relay,
                        this::callerLimits,
                        messageMemory,
                        clock);
        registerGauges();
        new ContentServer(blackboard.control()::read, localVoter.service())
                .register(listener.handlers());
        this.watcher = createWatcher();
        this.lifecycle =
                new RelayLifecycle(
                        blackboard,
                        () -> trafficPlans.current().isPresent(),
                        new PlannedStopRecord(control, blackboard.control()::read, STOP_TIMEOUT_MS),
                        watcher,
                        localVoter.service(),
                        callerListener,
                        relay,
                        settings.graceMs(),
                        clock);
    }

    private TrafficPlanStore createTrafficPlans(TrafficPlanStore.Decoder decoder) {
        TrafficPlanStore store =
                new TrafficPlanStore(
                        control,
                        control,
                        control,
                        blackboard.control()::read,
                        decoder,
                        planDecoder);
        blackboard.control().addListener(view -> store.refresh());
        return store;
    }

    private EndpointRegistry createEndpointRegistry() {
        EndpointRegistry registry =
                new EndpointRegistry(
                        blackboard.endpoints(),
                        name -> Optional.empty(),
                        trafficPlans::serviceNames,
                        new PrefixIndex(),
                        clock);
        if (!settings.isFirstStart()) {
            registry.holdUntilFirstExchange(EndpointRegistry.MAX_HOLD_MS);
        }
        return registry;
    }

    private ControlService createControlService(Path dataFolder) {
        return new ControlService(
                ReplicationSettings.withDefaults(
                        listener.address(),
                        settings.voters(),
                        new ReplicationSettings.VoterPolicy(
                                true,
                                settings.isFirstStart(),
                                settings.minVoters(),
                                voters::discoveryAddresses)),
                () -> new DiskLogStore(dataFolder.resolve("control")),
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
        localVoter
                .service()
                .ifPresent(service -> service.voters().thenAccept(voters::updateIfNewer));
    }

    private DisseminationService createDissemination() {
        DisseminationService service =
                new DisseminationService(
                        transport,
                        blackboard.control(),
                        blackboard.self(),
                        endpointRegistry,
                        disseminationParts,
                        new DisseminationSources(
                                () -> AccountUsageTable.EMPTY,
                                account -> false,
                                inFlight::snapshot,
                                () -> RetryUsageTable.ofServices(retryBudget.localUsage()),
                                knowledge.crashEvidence(),
                                knowledge.rateLimits()::current,
                                rollouts.rollouts()::counts,
                                IN_FLIGHT_REPORT_LIMIT_ENDPOINTS),
                        DISSEMINATION_FAN_OUT,
                        clock);
        service.register(listener.handlers());
        return service;
    }

    private RelayContext createRelayContext(RelayHeaders headers, CopyOrderNames copyOrders) {
        EndpointHealth health = new EndpointHealth(clock);
        return new RelayContext(
                headers,
                copyOrders,
                trafficPlans::current,
                blackboard.endpoints()::read,
                new RelayPlacement(
                        settings.instance().availabilityZone(),
                        this::requestsInFlightAt,
                        health,
                        () -> ThreadLocalRandom.current().nextDouble(),
                        this::liveInstanceCount,
                        new CompletionEstimator(
                                knowledge.signals()::load, knowledge.speeds()::slowdown)),
                health,
                inFlight,
                retryBudget,
                knowledge.quarantine(),
                knowledge.requestQuarantine(),
                rollouts.rollouts(),
                new EndpointRateLimiter(
                        knowledge.rateLimits(),
                        disseminationParts.rateLimits()::read,
                        retryBudget::requestShare,
                        () -> ThreadLocalRandom.current().nextDouble(),
                        clock),
                knowledge::loadWithPace,
                settings.admission(),
                knowledge.signals(),
                knowledge.speeds(),
                settings.messages().responseLimits(),
                metrics,
                clock);
    }

    private void registerGauges() {
        localVoter.registerGauge(metrics);
        announcements.registerGauge(metrics);
        knowledge.registerGauges(metrics);
        new RelayGauges(
                        trafficPlans,
                        blackboard.endpoints(),
                        callerListener,
                        messageMemory,
                        listener.loop())
                .register(metrics);
    }

    private double requestsInFlightAt(EndpointState endpoint) {
        int otherInstancesWeight =
                disseminationParts.inFlight().read().of(endpoint.id(), endpoint.epochMs());
        return RelayWorkKind.toRequests(inFlight.inFlight(endpoint.id()) + otherInstancesWeight);
    }

    private int liveInstanceCount() {
        return Math.max(1, blackboard.control().read().instances().size());
    }

    private CallerLimits callerLimits() {
        return trafficPlans.current().map(TrafficPlan::limits).orElse(CallerLimits.DEFAULT);
    }

    private ControlWatcher createWatcher() {
        // The control state machine replaces incarnation 1 by one above all earlier incarnations.
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
        localVoter.start();
        watcher.start();
        voterDiscovery.start(scheduler);
        scheduler.scheduleWithFixedDelay(
                this::learnVoters,
                LEARN_VOTERS_INTERVAL_MS,
                LEARN_VOTERS_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
        dissemination.start(scheduler);
        rollouts.start(scheduler, metrics);
        callerListener.start(scheduler);
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
                localVoter.service().isPresent());
    }

    /**
     * Applies changed settings to the running instance. Only the initial voter addresses take
     * effect; the other settings need a restart.
     *
     * @param changed settings that were read again, already validated
     */
    public void reload(RelaySettings changed) {
        voters.replaceConfigured(changed.voters());
    }

    /** Returns the traffic plans of the operator. */
    public TrafficPlanStore trafficPlans() {
        return trafficPlans;
    }

    /** Returns the service that takes orders to roll out versions of services. */
    public RolloutService rollouts() {
        return rollouts.service();
    }

    /** Returns the service that receives the announcements of endpoints. */
    public AnnouncementService announcements() {
        return announcements;
    }

    /**
     * Returns whether this instance is ready, accepts connections and is not stopping, so that
     * callers should use it.
     */
    public boolean isReady() {
        return blackboard.readiness().read() == Readiness.READY && callerListener.isAccepting();
    }

    /** Returns the metrics of this instance. */
    public Metrics metrics() {
        return metrics;
    }

    /** Returns the memory for the requests and responses of all listeners. */
    public ByteBudget messageMemory() {
        return messageMemory;
    }

    /** Returns the monotonic clock of this instance. */
    public MillisClock clock() {
        return clock;
    }

    /** Returns the scheduler of this instance; it is shut down by {@link #close()}. */
    public ScheduledExecutorService scheduler() {
        return scheduler;
    }

    /**
     * Returns the instances that a caller should connect to: those in its availability zone if
     * there are at least two, otherwise those in all zones. Instances that are stopping are left
     * out.
     *
     * @param availabilityZone availability zone of the caller
     * @return addresses as {@code host:port}, at most 64, possibly none
     */
    public List<String> addresses(String availabilityZone) {
        return CallerAddresses.ofView(blackboard.control().read(), availabilityZone);
    }

    @Override
    public void planStop() {
        lifecycle.planStop();
    }

    @Override
    public CompletableFuture<Void> stopCompletion() {
        return lifecycle.stopCompletion();
    }

    @Override
    public void close() {
        callerListener.close();
        relay.close();
        dissemination.close();
        watcher.stop();
        localVoter.stop(VOTER_STOP_TIMEOUT_MS);
        listener.close();
        planDecoder.shutdownNow();
        scheduler.shutdownNow();
    }
}
