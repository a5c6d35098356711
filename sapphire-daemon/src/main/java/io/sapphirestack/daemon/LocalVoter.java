package io.sapphirestack.daemon;

import io.sapphirestack.core.replication.DamagedLogException;
import io.sapphirestack.runtime.control.ControlService;
import io.sapphirestack.runtime.metrics.EventLog;
import io.sapphirestack.runtime.metrics.Metrics;
import java.nio.file.Path;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/** Voter of the control log in this process; only instances with a data folder have one. */
public final class LocalVoter {

    private static final EventLog LOG = EventLog.of(LocalVoter.class);

    private final Optional<Path> dataFolder;
    private final Optional<ControlService> service;

    /**
     * Creates the voter; it does not run before {@link #start()}.
     *
     * @param dataFolder data folder of the instance, empty if it is not a voter
     * @param factory creates the voter with that folder
     */
    public LocalVoter(Optional<Path> dataFolder, Function<Path, ControlService> factory) {
        this.dataFolder = Objects.requireNonNull(dataFolder, "dataFolder");
        this.service = dataFolder.map(factory);
    }

    /** Returns the voter, empty if the instance is not a voter. */
    public Optional<ControlService> service() {
        return service;
    }

    /**
     * Starts the voter; does nothing without one. A disk that cannot be read or written does not
     * fail the start: the instance serves without its voter, which tries again.
     *
     * @throws DaemonException if the control log is damaged
     */
    public void start() throws DaemonException {
        if (service.isEmpty()) {
            return;
        }
        try {
            service.get().start();
        } catch (DamagedLogException e) {
            throw new DaemonException("start-voter", dataFolder.get().toString(), "" + e, e);
        }
    }

    /**
     * Registers a gauge that is 1 while the voter takes part in the control log and 0 while it
     * waits for its restart; an instance without a voter has no such gauge.
     *
     * @param metrics metrics of the instance
     */
    public void registerGauge(Metrics metrics) {
        service.ifPresent(
                voter ->
                        metrics.registerGauge(
                                "sapphire_voter_running",
                                "Whether the voter of this instance takes part in the control log.",
                                () -> voter.isRunning() ? 1 : 0));
    }

    /**
     * Stops the voter and waits until its log is closed.
     *
     * @param waitMs longest wait, in milliseconds
     */
    public void stop(long waitMs) {
        service.ifPresent(
                voter ->
                        voter.stop()
                                .orTimeout(waitMs, TimeUnit.MILLISECONDS)
                                .exceptionally(LocalVoter::logUnfinishedStop)
                                .join());
    }

    private static Void logUnfinishedStop(Throwable failure) {
        LOG.warn("SAP1315", "The voter did not stop in time", "cause", failure);
        return null;
    }
}
