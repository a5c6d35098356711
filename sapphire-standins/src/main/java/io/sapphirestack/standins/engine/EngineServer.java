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

/** Running stand-in engine; also usable within a test. Thread-safe. */
public final class EngineServer implements Closeable {

    private final EngineOptions options;
    private final MillisClock clock = MillisClock.monotonic();
    private final long epochMs = MillisClock.wall().nowMs();
    private final PrefixCache cache;
    private final EngineFaults faults;
    private final ModelHolder models;
    private final BatchScheduler scheduler;
    private final ExecutorService loads = Executors.newCachedThreadPool(EngineServer::daemon);
    private final ScheduledExecutorService steps =
            Executors.newSingleThreadScheduledExecutor(EngineServer::daemon);
    private final StandInServer server;

    private EngineServer(
            EngineOptions options,
            String listen,
            List<ModelPin> initial,
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
                new ModelHolder(
                        initial,
                        options.fencingChecked(),
                        new HttpWeightFetcher(weightStore, loads));
        this.scheduler = new BatchScheduler(options, clock, cache, faults, models::isLoaded);
        this.server =
                StandInServer.start(
                        listen, new EngineHandler(options, clock, scheduler, models, faults));
    }

    /**
     * Starts an engine.
     *
     * @param options behaviour
     * @param listen {@code host:port}; port 0 chooses a free one
     * @param models variants that are loaded at the start
     * @param weightStore {@code host:port} of the weight store; empty for loads that succeed at
     *     once
     * @param exit ends the process when a fault says so
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

    /** Returns the address that clients connect to, {@code host:port}. */
    public String address() {
        return server.address();
    }

    EngineFaults faults() {
        return faults;
    }

    /**
     * Describes the engine as it announces itself.
     *
     * @param id name of the endpoint
     * @param service service that it belongs to
     * @param availabilityZone availability zone
     * @param sequence number of the announcement
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
                models.loaded(),
                scheduler.reportedLoad(),
                cache.takeEvents(clock.nowMs()),
                models.highestFencingToken(),
                EndpointPhase.SERVING);
    }

    @Override
    public void close() {
        steps.shutdownNow();
        loads.shutdownNow();
        server.close();
    }

    private void scheduleStep() {
        long intervalMicros = Math.round(options.tokenIntervalMs() * faults.slowDown() * 1_000);
        steps.schedule(this::stepAndSchedule, intervalMicros, TimeUnit.MICROSECONDS);
    }

    private void stepAndSchedule() {
        scheduler.step();
        if (!steps.isShutdown()) {
            scheduleStep();
        }
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task, "engine");
        thread.setDaemon(true);
        return thread;
    }
}
