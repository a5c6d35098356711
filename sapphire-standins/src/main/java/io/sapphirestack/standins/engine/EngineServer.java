package io.sapphirestack.standins.engine;

import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.membership.EndpointAnnouncement;
import io.sapphirestack.core.membership.EndpointPhase;
import io.sapphirestack.core.record.ModelPin;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.standins.support.StandInServer;
import java.io.Closeable;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Stand-in engine with its HTTP server; can also be started inside a test. Thread-safe. */
public final class EngineServer implements Closeable {

    private final EngineOptions options;
    private final MillisClock clock = MillisClock.monotonic();
    private final long epochMs = MillisClock.wall().nowMs();
    private final PrefixCache cache;
    private final EngineFaults faults;
    private final ModelRegistry models;
    private final BatchScheduler scheduler;
    private final ExecutorService loadExecutor =
            Executors.newCachedThreadPool(EngineServer::newDaemonThread);
    private final ScheduledExecutorService stepExecutor =
            Executors.newSingleThreadScheduledExecutor(EngineServer::newDaemonThread);
    private final StandInServer server;

    private EngineServer(
            EngineOptions options,
            String listen,
            List<ModelPin> initialModels,
            String weightStore,
            Runnable exit)
            throws IOException {
        this.options = options;
        this.faults = new EngineFaults(exit);
        this.cache =
                new PrefixCache(
                        options.cacheBlocks(),
                        options.cacheEventLagMs(),
                        options.cacheEventLossShare(),
                        options.seed());
        this.models =
                new ModelRegistry(
                        initialModels,
                        options.fencingChecked(),
                        new HttpWeightFetcher(weightStore, loadExecutor));
        this.scheduler = new BatchScheduler(options, clock, cache, faults, models::isLoaded);
        this.server =
                StandInServer.start(
                        listen, new EngineHandler(options, clock, scheduler, models, faults));
    }

    /**
     * Starts an engine.
     *
     * @param options capacity and timing
     * @param listen {@code host:port}; port 0 selects a free port
     * @param models variants that are loaded at startup
     * @param weightStore {@code host:port} of the weight store; empty to complete every load at
     *     once
     * @param exit ends the process when an injected fault requires it
     * @return the running engine
     * @throws IOException if the address cannot be bound
     */
    public static EngineServer start(
            EngineOptions options,
            String listen,
            List<ModelPin> models,
            String weightStore,
            Runnable exit)
            throws IOException {
        EngineServer engine = new EngineServer(options, listen, models, weightStore, exit);
        engine.scheduleStep();
        return engine;
    }

    /** Returns the bound address, {@code host:port}. */
    public String address() {
        return server.address();
    }

    EngineFaults faults() {
        return faults;
    }

    /**
     * Creates an announcement of the current state. Removes the due cache events, so that each is
     * announced once.
     *
     * @param id name of the endpoint
     * @param service service that the endpoint belongs to
     * @param availabilityZone availability zone
     * @param sequence sequence number of the announcement
     * @return the announcement
     */
    public EndpointAnnouncement announcement(
            String id, String service, String availabilityZone, long sequence) {
        return new EndpointAnnouncement(
                EndpointId.of(id),
                service,
                address(),
                availabilityZone,
                epochMs,
                sequence,
                models.loadedModels(),
                scheduler.reportedLoad(),
                cache.drainEvents(clock.nowMs()),
                models.highestFencingToken(),
                EndpointPhase.SERVING,
                "");
    }

    @Override
    public void close() {
        stepExecutor.shutdownNow();
        loadExecutor.shutdownNow();
        server.close();
    }

    private void scheduleStep() {
        long intervalMicros =
                Math.round(options.tokenIntervalMs() * faults.slowDownFactor() * 1_000);
        stepExecutor.schedule(this::stepAndSchedule, intervalMicros, TimeUnit.MICROSECONDS);
    }

    private void stepAndSchedule() {
        scheduler.step();
        if (!stepExecutor.isShutdown()) {
            scheduleStep();
        }
    }

    private static Thread newDaemonThread(Runnable task) {
        Thread thread = new Thread(task, "engine");
        thread.setDaemon(true);
        return thread;
    }
}
