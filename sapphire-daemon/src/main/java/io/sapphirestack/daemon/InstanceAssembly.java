package io.sapphirestack.daemon;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.sapphirestack.core.control.InstanceInfo;
import io.sapphirestack.core.control.InstanceStatus;
import io.sapphirestack.core.generation.GenerationAdmission;
import io.sapphirestack.core.id.AccountId;
import io.sapphirestack.core.id.InstanceId;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.core.limit.AccountLimiter;
import io.sapphirestack.core.limit.ByteBudget;
import io.sapphirestack.core.objective.BurnRecorder;
import io.sapphirestack.core.quarantine.CrashEvidence;
import io.sapphirestack.core.quarantine.RequestQuarantine;
import io.sapphirestack.core.record.RecordSpecResolver;
import io.sapphirestack.core.replication.ReplicationSettings;
import io.sapphirestack.core.routing.DefaultDispatchGuard;
import io.sapphirestack.core.routing.DispatchGuard;
import io.sapphirestack.core.routing.ExpectedCostRoutingStrategy;
import io.sapphirestack.core.routing.InFlightTracker;
import io.sapphirestack.core.routing.LoadEstimator;
import io.sapphirestack.core.routing.PlannedStops;
import io.sapphirestack.core.routing.PrefixIndex;
import io.sapphirestack.core.routing.RoutingParameters;
import io.sapphirestack.core.routing.RoutingStrategy;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.blackboard.Blackboard;
import io.sapphirestack.runtime.concurrent.DaemonThreads;
import io.sapphirestack.runtime.concurrent.WorkerPools;
import io.sapphirestack.runtime.control.ContentServer;
import io.sapphirestack.runtime.control.ControlService;
import io.sapphirestack.runtime.control.ControlWatcher;
import io.sapphirestack.runtime.control.DefaultControlClient;
import io.sapphirestack.runtime.control.VoterDirectory;
import io.sapphirestack.runtime.endpoint.AnnouncementService;
import io.sapphirestack.runtime.endpoint.DisseminationBlackboardParts;
import io.sapphirestack.runtime.endpoint.DisseminationService;
import io.sapphirestack.runtime.endpoint.DisseminationSources;
import io.sapphirestack.runtime.endpoint.EndpointRegistry;
import io.sapphirestack.runtime.endpoint.EngineOrderLease;
import io.sapphirestack.runtime.endpoint.HttpEngineOrderClient;
import io.sapphirestack.runtime.endpoint.ModelController;
import io.sapphirestack.runtime.endpoint.RequestCrashMonitor;
import io.sapphirestack.runtime.error.ServiceException;
import io.sapphirestack.runtime.generation.DefaultGenerationService;
import io.sapphirestack.runtime.generation.GenerationContext;
import io.sapphirestack.runtime.generation.GenerationLimits;
import io.sapphirestack.runtime.http.FrontendServices;
import io.sapphirestack.runtime.http.HttpFrontend;
import io.sapphirestack.runtime.http.HttpSettings;
import io.sapphirestack.runtime.metrics.EventLog;
import io.sapphirestack.runtime.metrics.Metrics;
import io.sapphirestack.runtime.storage.DiskLogStore;
import io.sapphirestack.runtime.transport.PeerTransport;
import io.sapphirestack.runtime.transport.TcpPeerTransport;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.ThreadPoolExecutor;

/**
 * Creates and connects the components of one instance, in the order of their dependencies. HTTP is
 * started after the local voter, the lifecycle, dissemination and generations, so that the instance
 * accepts only requests that it can serve; the instance joins the cluster last.
 */
public final class InstanceAssembly implements ManagedInstance {

    private static final EventLog LOG = EventLog.of(InstanceAssembly.class);
    private static final int SCHEDULER_THREADS = 2;
    private static final int ENGINE_ORDER_THREADS = 16;
    private static final int DISSEMINATION_FAN_OUT = 3;
    private static final long PEER_REPORT_TIMEOUT_MS = 2_000;
    private static final long VOTER_STOP_TIMEOUT_MS = 5_000;

    private final DaemonSettings settings;
    private final PeerListener listener;
    private final MillisClock clock = MillisClock.monotonic();
    private final Blackboard blackboard = Blackboard.create();
    private final DisseminationBlackboardParts disseminationParts =
            DisseminationBlackboardParts.create();
    private final RecordSpecResolver specs = new RecordSpecResolver();
    private final RecordCatalog catalog;
    private final ByteBudget messageMemory;
    private final Metrics metrics = new Metrics();
    private final BurnRecorder burnRecorder = new BurnRecorder(MillisClock.wall());
    private final SecureRandom random = new SecureRandom();
    private final CrashEvidence crashEvidence = CrashEvidence.empty(MillisClock.wall());
    private final RequestCrashMonitor crashes;
    private final ScheduledThreadPoolExecutor scheduler;
    private final ThreadPoolExecutor attemptThreads;
    private final ThreadPoolExecutor engineOrderThreads;
    private final PeerTransport transport;
    private final DefaultControlClient control;
    private final LocalVoter localVoter;
    private final PlannedStops plannedStops;
    private final InFlightTracker inFlight;
    private final EndpointRegistry endpointRegistry;
    private final RoutingStrategy routing;
    private final DispatchGuard dispatchGuard;
    private final AccountLimiter accountLimiter;
    private final DisseminationService dissemination;
    private final AnnouncementService announcements;
    private final DefaultGenerationService generations;
    private final Optional<ModelController> modelController;
    private final OrderAndReadServices orderAndReadServices;
    private final HttpFrontend frontend;
    private final ControlWatcher watcher;
    private final InstanceLifecycle lifecycle;

    /**
     * Creates the components of an instance; nothing runs before {@link #start()}.
     *
     * @param settings validated settings
     * @param listener bound peer listener; this object closes it from now on
     * @throws ServiceException if the HTTP address cannot be bound
     */
    public InstanceAssembly(DaemonSettings settings, PeerListener listener)
            throws ServiceException {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.listener = Objects.requireNonNull(listener, "listener");
        this.catalog = new RecordCatalog(blackboard.control()::read, specs);
        this.scheduler = DaemonThreads.scheduler("scheduler", SCHEDULER_THREADS);
        this.messageMemory = new ByteBudget(settings.limits().messageBytes());
        this.attemptThreads = WorkerPools.createQueueing("attempt", settings.limits().attempts());
        this.engineOrderThreads = WorkerPools.createQueueing("engine-order", ENGINE_ORDER_THREADS);
        this.transport =
                new TcpPeerTransport(
                        listener.loop(),
                        listener.address(),
                        settings.clusterKey(),
                        listener.handlers());
        this.control = new DefaultControlClient(settings.voters(), transport, scheduler, clock);
        this.localVoter = new LocalVoter(settings.dataFolder(), this::createControlService);
        this.plannedStops = new PlannedStops(blackboard.control()::read);
        this.inFlight = new InFlightTracker(clock);
        PrefixIndex prefixes = new PrefixIndex();
        this.endpointRegistry =
                new EndpointRegistry(
                        blackboard.endpoints(),
                        catalog::service,
                        catalog::serviceNames,
                        prefixes,
                        clock);
        endpointRegistry.holdUntilFirstExchange(EndpointRegistry.MAX_HOLD_MS);
        this.routing = createRoutingStrategy(prefixes);
        this.dispatchGuard =
                new DefaultDispatchGuard(
                        blackboard.configurationLease()::read,
                        blackboard.endpoints()::read,
                        plannedStops,
                        catalog::service,
                        inFlight,
                        clock);
        this.accountLimiter =
                new AccountLimiter(
                        disseminationParts.usage()::read, this::liveInstanceCount, clock);
        this.crashes =
                RequestCrashMonitor.create(
                        new RequestQuarantine(
                                crashEvidence.histories(), MillisClock.wall(), random.nextLong()),
                        clock);
        this.dissemination = createDissemination();
        this.announcements = new AnnouncementService(endpointRegistry, dissemination);
        this.generations = createGenerationService();
        this.modelController = localVoter.service().map(this::createModelController);
        this.orderAndReadServices =
                new OrderAndReadServices(
                        settings.limits(),
                        blackboard,
                        control,
                        catalog,
                        OrderAndReadServices.PlainEndpoints.of(
                                routing, dispatchGuard, messageMemory),
                        crashes,
                        scheduler,
                        clock);
        registerGauges();
        this.frontend = createFrontend();
        new ContentServer(blackboard.control()::read, localVoter.service())
                .register(listener.handlers());
        this.watcher = createWatcher();
        this.lifecycle =
                new InstanceLifecycle(
                        blackboard,
                        specs,
                        control,
                        watcher,
                        localVoter.service(),
                        generations,
                        frontend,
                        scheduler,
                        clock);
    }

    private void registerGauges() {
        announcements.registerGauge(metrics);
        localVoter.registerGauge(metrics);
        metrics.registerGauge(
                "sapphire_message_memory_bytes",
                "Memory of the requests that this instance holds, in bytes.",
                messageMemory::reservedBytes);
        metrics.registerGauge(
                "sapphire_failed_memory_reservations",
                "Reservations of message memory that found none.",
                messageMemory::failedReservations);
        metrics.registerGauge(
                "sapphire_peer_transferred_bytes",
                "Bytes sent to and received from other instances.",
                () -> listener.loop().transferredBytes());
    }

    private ControlService createControlService(Path dataFolder) {
        return new ControlService(
                ReplicationSettings.withDefaults(listener.address(), settings.voters()),
                () -> new DiskLogStore(dataFolder.resolve("control")),
                transport,
                listener.handlers(),
                clock,
                MillisClock.wall(),
                random,
                specs);
    }

    private RoutingStrategy createRoutingStrategy(PrefixIndex prefixes) {
        return new ExpectedCostRoutingStrategy(
                blackboard.endpoints()::read,
                prefixes,
                new LoadEstimator(
                        inFlight,
                        disseminationParts.inFlight()::read,
                        this::liveInstanceCount,
                        clock),
                plannedStops,
                settings.instance().availabilityZone(),
                RoutingParameters.DEFAULT,
                bound -> ThreadLocalRandom.current().nextInt(bound),
                clock);
    }

    private DisseminationService createDissemination() {
        NearLimitAccounts nearLimitAccounts =
                new NearLimitAccounts(accountLimiter, disseminationParts.usage()::read, catalog);
        DisseminationService service =
                new DisseminationService(
                        transport,
                        blackboard.control(),
                        blackboard.self(),
                        endpointRegistry,
                        disseminationParts,
                        new DisseminationSources(
                                nearLimitAccounts::refreshLocalUsage,
                                nearLimitAccounts::isNearLimit,
                                inFlight::snapshot,
                                crashEvidence),
                        DISSEMINATION_FAN_OUT,
                        clock);
        service.register(listener.handlers());
        return service;
    }

    private DefaultGenerationService createGenerationService() {
        GenerationContext context =
                new GenerationContext(
                        blackboard,
                        transport,
                        catalog,
                        routing,
                        dispatchGuard,
                        this::admitGeneration,
                        this::reportUnreachablePeer,
                        new GenerationMetricsRecorder(metrics, burnRecorder, catalog),
                        crashes,
                        clock);
        DefaultGenerationService service =
                new DefaultGenerationService(
                        context,
                        new GenerationLimits(
                                GenerationLimits.DEFAULT.resultRetentionMs(),
                                settings.limits().finishedGenerationsBytes()),
                        attemptThreads,
                        scheduler,
                        random);
        service.registerHandlers(listener.handlers());
        return service;
    }

    private GenerationAdmission.Permit admitGeneration(AccountId account, boolean accepted)
            throws io.sapphirestack.core.error.RefusedException {
        AccountLimiter.Permit permit =
                accepted
                        ? accountLimiter.adoptGeneration(account)
                        : accountLimiter.beginGeneration(account, catalog.requireAccount(account));
        return permit::close;
    }

    private void reportUnreachablePeer(InstanceRef peer, long unacknowledgedMs) {
        Optional<InstanceRef> self = blackboard.self().read();
        if (self.isPresent()) {
            control.reportPeer(self.get(), peer, PEER_REPORT_TIMEOUT_MS);
        }
    }

    private ModelController createModelController(ControlService service) {
        return new ModelController(
                control,
                () ->
                        service.leaderLease()
                                .current()
                                .map(term -> new EngineOrderLease(term.term(), term.leaseUntilMs()))
                                .orElse(EngineOrderLease.NONE),
                blackboard.endpoints()::read,
                catalog::service,
                catalog::models,
                catalog::weightStore,
                plannedStops,
                new HttpEngineOrderClient(engineOrderThreads, new ObjectMapper(), ""),
                clock);
    }

    private HttpFrontend createFrontend() throws ServiceException {
        DaemonSettings.Limits limits = settings.limits();
        return new HttpFrontend(
                new HttpSettings(
                        settings.httpListen(),
                        limits.connections(),
                        limits.streams(),
                        limits.reads(),
                        limits.orders(),
                        limits.bodyBytes()),
                new FrontendServices(
                        blackboard,
                        specs,
                        generations,
                        orderAndReadServices.orders(),
                        orderAndReadServices.reads(),
                        announcements,
                        control,
                        accountLimiter::admitRequest,
                        messageMemory,
                        metrics,
                        burnRecorder,
                        clock,
                        settings.bootstrapOperatorKeyHash()));
    }

    private ControlWatcher createWatcher() {
        DaemonSettings.Instance instance = settings.instance();
        // On joining, the control state machine raises the incarnation above all earlier ones.
        InstanceInfo info =
                new InstanceInfo(
                        new InstanceRef(InstanceId.of(instance.id()), 1),
                        instance.availabilityZone(),
                        instance.region(),
                        listener.address(),
                        frontend.address(),
                        RecordSpecResolver.CURRENT_READER_VERSION);
        return new ControlWatcher(
                info,
                new VoterDirectory(settings.voters()),
                transport,
                control,
                blackboard,
                () -> currentStatus(info.ref()),
                clock,
                random);
    }

    private InstanceStatus currentStatus(InstanceRef ref) {
        return new InstanceStatus(
                ref,
                blackboard.control().read().revision(),
                blackboard.readiness().read(),
                generations.countOwnedRunning(),
                Map.copyOf(inFlight.snapshot()),
                specs.unreadable(blackboard.control().read().records().values()));
    }

    private int liveInstanceCount() {
        return Math.max(1, blackboard.control().read().instances().size());
    }

    @Override
    public void start() throws DaemonException {
        listener.start();
        localVoter.start();
        lifecycle.start();
        dissemination.start(scheduler);
        generations.start();
        modelController.ifPresent(controller -> controller.start(scheduler));
        frontend.start();
        watcher.start();
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

    /** Returns the {@code host:port} on which callers, endpoints and operators are served. */
    public String httpAddress() {
        return frontend.address();
    }

    /** Returns the lifecycle of this instance. */
    public InstanceLifecycle lifecycle() {
        return lifecycle;
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
        lifecycle.close();
        frontend.close();
        modelController.ifPresent(ModelController::close);
        generations.stop();
        dissemination.close();
        watcher.stop();
        localVoter.stop(VOTER_STOP_TIMEOUT_MS);
        listener.close();
        scheduler.shutdownNow();
        attemptThreads.shutdownNow();
        engineOrderThreads.shutdownNow();
        orderAndReadServices.close();
        crashes.close();
    }
}
