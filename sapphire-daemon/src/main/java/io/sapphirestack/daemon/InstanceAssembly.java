package io.sapphirestack.daemon;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.sapphirestack.core.control.InstanceInfo;
import io.sapphirestack.core.control.InstanceStatus;
import io.sapphirestack.core.generation.GenerationAdmission;
import io.sapphirestack.core.id.AccountId;
import io.sapphirestack.core.id.InstanceId;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.core.limit.AccountLimiter;
import io.sapphirestack.core.objective.BurnRecorder;
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
import io.sapphirestack.runtime.control.ControlService;
import io.sapphirestack.runtime.control.ControlWatcher;
import io.sapphirestack.runtime.control.DefaultControlClient;
import io.sapphirestack.runtime.control.VoterDirectory;
import io.sapphirestack.runtime.endpoint.DisseminationBlackboardParts;
import io.sapphirestack.runtime.endpoint.DisseminationService;
import io.sapphirestack.runtime.endpoint.DisseminationSources;
import io.sapphirestack.runtime.endpoint.EndpointRegistry;
import io.sapphirestack.runtime.endpoint.EngineOrderLease;
import io.sapphirestack.runtime.endpoint.HttpEngineOrderClient;
import io.sapphirestack.runtime.endpoint.ModelController;
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
 * Composes all parts of one instance. Parts are created in the order of their dependencies and
 * started so that an instance answers only what it can serve: control, membership, dissemination,
 * generations, then HTTP.
 */
public final class InstanceAssembly implements ManagedInstance {

    private static final EventLog LOG = EventLog.of(InstanceAssembly.class);
    private static final int SCHEDULER_THREADS = 2;
    private static final int ORDER_CLIENT_THREADS = 16;
    private static final int SPREAD_FAN_OUT = 3;
    private static final long REPORT_TIMEOUT_MS = 2_000;
    private static final long CLOSE_WAIT_MS = 5_000;

    private final DaemonSettings settings;
    private final PeerListener listener;
    private final MillisClock clock = MillisClock.monotonic();
    private final Blackboard blackboard = Blackboard.create();
    private final DisseminationBlackboardParts spreadParts = DisseminationBlackboardParts.create();
    private final RecordSpecResolver specs = new RecordSpecResolver();
    private final RecordCatalog catalog;
    private final Metrics metrics = new Metrics();
    private final BurnRecorder burn = new BurnRecorder(MillisClock.wall());
    private final SecureRandom random = new SecureRandom();
    private final ScheduledThreadPoolExecutor scheduler;
    private final ThreadPoolExecutor attemptThreads;
    private final ThreadPoolExecutor orderClientThreads;
    private final PeerTransport transport;
    private final DefaultControlClient control;
    private final LocalVoter voter;
    private final PlannedStops stopping;
    private final InFlightTracker inFlight;
    private final EndpointRegistry registry;
    private final RoutingStrategy routing;
    private final DispatchGuard guard;
    private final AccountLimiter limiter;
    private final DisseminationService spread;
    private final DefaultGenerationService generations;
    private final Optional<ModelController> models;
    private final PlainServices plainServices;
    private final HttpFrontend frontend;
    private final ControlWatcher watcher;
    private final InstanceLifecycle lifecycle;

    /**
     * Composes an instance; nothing runs before {@link #start()}.
     *
     * @param settings checked settings
     * @param listener bound peer address, owned by this object from now on
     * @throws ServiceException if the HTTP address cannot be bound
     */
    public InstanceAssembly(DaemonSettings settings, PeerListener listener)
            throws ServiceException {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.listener = Objects.requireNonNull(listener, "listener");
        this.catalog = new RecordCatalog(blackboard.control()::read, specs);
        this.scheduler = DaemonThreads.scheduler(SCHEDULER_THREADS);
        this.attemptThreads = WorkerPools.createQueueing("attempt", settings.limits().attempts());
        this.orderClientThreads = WorkerPools.createQueueing("engine-order", ORDER_CLIENT_THREADS);
        this.transport =
                new TcpPeerTransport(
                        listener.loop(),
                        listener.address(),
                        settings.clusterKey(),
                        listener.handlers());
        this.control = new DefaultControlClient(settings.voters(), transport, scheduler, clock);
        this.voter = new LocalVoter(settings.dataFolder(), this::voter);
        this.stopping = new PlannedStops(blackboard.control()::read);
        this.inFlight = new InFlightTracker(clock);
        PrefixIndex prefixes = new PrefixIndex();
        this.registry =
                new EndpointRegistry(blackboard.endpoints(), catalog::service, prefixes, clock);
        this.routing = routing(prefixes);
        this.guard =
                new DefaultDispatchGuard(
                        blackboard.configurationLease()::read,
                        blackboard.endpoints()::read,
                        stopping,
                        catalog::service,
                        inFlight,
                        clock);
        this.limiter = new AccountLimiter(spreadParts.usage()::read, this::liveInstances, clock);
        this.spread = spread();
        this.generations = generations();
        this.models = voter.service().map(this::models);
        this.plainServices =
                new PlainServices(
                        settings.limits(),
                        blackboard,
                        control,
                        catalog,
                        routing,
                        guard,
                        scheduler,
                        clock);
        metrics.registerGauge(
                "sapphire_peer_transferred_bytes",
                "Bytes sent to and received from other instances.",
                () -> listener.loop().transferredBytes());
        this.frontend = frontend();
        this.watcher = watcher();
        this.lifecycle =
                new InstanceLifecycle(
                        blackboard,
                        specs,
                        control,
                        watcher,
                        voter.service(),
                        generations,
                        frontend,
                        scheduler,
                        clock);
    }

    private ControlService voter(Path dataFolder) {
        return new ControlService(
                ReplicationSettings.withDefaults(listener.address(), settings.voters()),
                new DiskLogStore(dataFolder.resolve("control")),
                transport,
                listener.handlers(),
                clock,
                MillisClock.wall(),
                random,
                specs);
    }

    private RoutingStrategy routing(PrefixIndex prefixes) {
        return new ExpectedCostRoutingStrategy(
                blackboard.endpoints()::read,
                prefixes,
                new LoadEstimator(
                        inFlight, spreadParts.inFlight()::read, this::liveInstances, clock),
                stopping,
                settings.instance().availabilityZone(),
                RoutingParameters.DEFAULT,
                bound -> ThreadLocalRandom.current().nextInt(bound),
                clock);
    }

    private DisseminationService spread() {
        AccountUrgency urgency = new AccountUrgency(limiter, spreadParts.usage()::read, catalog);
        DisseminationService service =
                new DisseminationService(
                        transport,
                        blackboard.control(),
                        blackboard.self(),
                        registry,
                        spreadParts,
                        new DisseminationSources(
                                urgency::localUsage, urgency::isUrgent, inFlight::snapshot),
                        SPREAD_FAN_OUT,
                        clock);
        service.register(listener.handlers());
        return service;
    }

    private DefaultGenerationService generations() {
        GenerationContext context =
                new GenerationContext(
                        blackboard,
                        transport,
                        catalog,
                        routing,
                        guard,
                        this::admitGeneration,
                        this::reportPeer,
                        new RecordedGenerationMetrics(metrics, burn, catalog),
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
                        ? limiter.adoptGeneration(account)
                        : limiter.beginGeneration(account, catalog.requireAccount(account));
        return permit::close;
    }

    private void reportPeer(InstanceRef peer, long silentMs) {
        Optional<InstanceRef> self = blackboard.self().read();
        if (self.isPresent()) {
            control.reportPeer(self.get(), peer, REPORT_TIMEOUT_MS);
        }
    }

    private ModelController models(ControlService service) {
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
                stopping,
                new HttpEngineOrderClient(orderClientThreads, new ObjectMapper(), ""),
                clock);
    }

    private HttpFrontend frontend() throws ServiceException {
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
                        plainServices.orders(),
                        plainServices.reads(),
                        registry,
                        control,
                        limiter::admitRequest,
                        metrics,
                        burn,
                        clock,
                        settings.bootstrapOperatorKeyHash()));
    }

    private ControlWatcher watcher() {
        DaemonSettings.Instance instance = settings.instance();
        // The state machine raises the incarnation above every earlier one.
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
                () -> status(info.ref()),
                clock,
                random);
    }

    private InstanceStatus status(InstanceRef ref) {
        return new InstanceStatus(
                ref,
                blackboard.control().read().revision(),
                blackboard.readiness().read(),
                generations.countOwnedRunning(),
                Map.copyOf(inFlight.snapshot()),
                specs.unreadable(blackboard.control().read().records().values()));
    }

    private int liveInstances() {
        return Math.max(1, blackboard.control().read().instances().size());
    }

    @Override
    public void start() throws DaemonException {
        listener.start();
        voter.start();
        lifecycle.start();
        spread.start(scheduler);
        generations.start();
        models.ifPresent(controller -> controller.start(scheduler));
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
                voter.service().isPresent());
    }

    /** Returns the address for callers, endpoints and operators. */
    public String httpAddress() {
        return frontend.address();
    }

    /** Returns the life of this instance. */
    public InstanceLifecycle lifecycle() {
        return lifecycle;
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
        lifecycle.close();
        frontend.close();
        models.ifPresent(ModelController::close);
        generations.stop();
        spread.close();
        watcher.stop();
        voter.stop(CLOSE_WAIT_MS);
        listener.close();
        scheduler.shutdownNow();
        attemptThreads.shutdownNow();
        orderClientThreads.shutdownNow();
        plainServices.close();
    }
}
