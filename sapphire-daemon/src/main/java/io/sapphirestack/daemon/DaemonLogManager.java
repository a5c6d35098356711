package io.sapphirestack.daemon;

import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.metrics.EventLog;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;

/**
 * Log manager that keeps its handlers while the process shuts down. The JDK's own removes them as
 * soon as a termination signal arrives, but a planned stop then still runs for minutes.
 */
public final class DaemonLogManager extends LogManager {

    /** Creates the manager; called by the JDK. */
    public DaemonLogManager() {
        super();
    }

    /** Sends all events to the standard output. */
    public static void install() {
        System.setProperty("org.jboss.logging.provider", "jdk");
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        Level level = Boolean.getBoolean("sapphire.debug") ? Level.FINE : Level.INFO;
        BoundedLogHandler handler =
                new BoundedLogHandler(
                        System.out, MillisClock.monotonic(), DaemonLogManager::reportDropped);
        handler.setLevel(level);
        root.addHandler(handler);
        root.setLevel(Level.INFO);
        Logger.getLogger("io.sapphirestack").setLevel(level);
    }

    @Override
    public void reset() {
        // Called by the shutdown hook of the JDK and once at start, when there is nothing to reset.
    }

    private static void reportDropped(long count) {
        EventLog log = EventLog.of(DaemonLogManager.class);
        log.warn("SAP1312", "Log lines were dropped", "count", count);
    }

    /** Waits for a short time until all events are written; called before the process ends. */
    public static void flush() {
        for (Handler handler : Logger.getLogger("").getHandlers()) {
            handler.flush();
        }
    }
}
