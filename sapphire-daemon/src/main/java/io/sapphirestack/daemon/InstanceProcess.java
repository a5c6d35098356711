package io.sapphirestack.daemon;

import io.sapphirestack.core.error.SapphireException;
import io.sapphirestack.runtime.metrics.EventLog;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import sun.misc.Signal;

/** Life of the process around an instance: start, planned stop on a signal, exit status. */
public final class InstanceProcess {

    /** Exit status after a planned stop. */
    public static final int EXIT_OK = 0;

    /** Exit status when the instance cannot start. */
    public static final int EXIT_FAILED = 1;

    /** Exit status for wrong arguments or settings. */
    public static final int EXIT_USAGE = 2;

    private static final EventLog LOG = EventLog.of(InstanceProcess.class);

    // Work that a planned stop waits for is bounded by its record; this is only a last limit.
    private static final long STOP_LIMIT_H = 24;

    private InstanceProcess() {}

    /**
     * Runs an instance until its planned stop, and ends the process then.
     *
     * @param instance instance that has not been started
     * @return never normally
     * @throws SapphireException if the instance cannot start; its parts are closed then
     */
    public static int run(ManagedInstance instance) throws SapphireException {
        try {
            instance.start();
        } catch (SapphireException e) {
            instance.close();
            throw e;
        }
        // Added only now: a hook that waits for the planned stop of an instance that never started
        // would keep the process from ending.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stopOnSignal(instance), "stop"));
        // During a stop by signal this thread runs on while the hook waits.
        instance.stopCompletion().join();
        instance.close();
        LOG.info("SAP1309", "Instance has stopped");
        DaemonLogManager.flush();
        Runtime.getRuntime().halt(EXIT_OK);
        return EXIT_OK;
    }

    /**
     * Runs an action at each signal that the settings have changed. Without it the JVM would end at
     * this signal.
     *
     * @param action reads the settings again
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
            instance.stopCompletion().orTimeout(STOP_LIMIT_H, TimeUnit.HOURS).join();
            // The main thread ends the process now; until then the hook must not return.
            TimeUnit.HOURS.sleep(STOP_LIMIT_H);
        } catch (CompletionException e) {
            LOG.error("SAP1313", e, "The planned stop failed");
            DaemonLogManager.flush();
            Runtime.getRuntime().halt(EXIT_FAILED);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
