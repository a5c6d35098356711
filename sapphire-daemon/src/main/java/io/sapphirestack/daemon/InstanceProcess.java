package io.sapphirestack.daemon;

import io.sapphirestack.core.error.SapphireException;
import io.sapphirestack.runtime.metrics.EventLog;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import sun.misc.Signal;

/** Runs an instance as a process: startup, planned stop on a termination signal, exit status. */
public final class InstanceProcess {

    /** Exit status after a planned stop. */
    public static final int EXIT_OK = 0;

    /** Exit status when the instance cannot start. */
    public static final int EXIT_FAILED = 1;

    /** Exit status for wrong arguments or settings. */
    public static final int EXIT_USAGE = 2;

    private static final EventLog LOG = EventLog.of(InstanceProcess.class);

    // The record of a planned stop limits how long it waits; this is only a last resort.
    private static final long STOP_TIMEOUT_H = 24;

    private InstanceProcess() {}

    /**
     * Runs an instance until its planned stop is complete, and then ends the process.
     *
     * @param instance instance that has not been started
     * @return never returns normally, because the process is halted
     * @throws SapphireException if the instance cannot start; it has been closed then
     */
    public static int run(ManagedInstance instance) throws SapphireException {
        try {
            instance.start();
        } catch (SapphireException e) {
            instance.close();
            throw e;
        }
        // Registered after the start: with an instance that never started, the hook would wait for
        // a planned stop that never completes, and the process could not exit.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stopOnSignal(instance), "stop"));
        // On a termination signal this thread continues while the shutdown hook waits.
        instance.stopCompletion().join();
        instance.close();
        LOG.info("SAP1309", "Instance has stopped");
        DaemonLogManager.flush();
        Runtime.getRuntime().halt(EXIT_OK);
        return EXIT_OK;
    }

    /**
     * Runs an action on each SIGHUP, the signal that requests a reload of the settings. Without a
     * handler the JVM would exit on this signal.
     *
     * @param action reloads the settings
     */
    public static void onReload(Runnable action) {
        Signal.handle(
                new Signal("HUP"),
                signal -> {
                    LOG.info("SAP1311", "A reload was requested by a signal");
                    action.run();
                });
    }

    private static void stopOnSignal(ManagedInstance instance) {
        instance.planStop();
        try {
            instance.stopCompletion().orTimeout(STOP_TIMEOUT_H, TimeUnit.HOURS).join();
            // The main thread halts the process now; the hook must not return before.
            TimeUnit.HOURS.sleep(STOP_TIMEOUT_H);
        } catch (CompletionException e) {
            LOG.error("SAP1313", e, "The planned stop failed");
            DaemonLogManager.flush();
            Runtime.getRuntime().halt(EXIT_FAILED);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
