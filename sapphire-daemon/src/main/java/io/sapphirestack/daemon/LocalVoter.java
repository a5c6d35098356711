package io.sapphirestack.daemon;

import io.sapphirestack.core.replication.LogStoreException;
import io.sapphirestack.runtime.control.ControlService;
import io.sapphirestack.runtime.metrics.EventLog;
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
     * Reads the control log and starts the voter; does nothing without a voter.
     *
     * @throws DaemonException if the control log cannot be read
     */
    public void start() throws DaemonException {
        if (service.isEmpty()) {
            return;
        }
        try {
            service.get().start();
        } catch (LogStoreException e) {
            throw new DaemonException("start-voter", dataFolder.get().toString(), "" + e, e);
        }
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
