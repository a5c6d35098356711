package io.sapphirestack.daemon;

import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.metrics.EventLog;
import java.io.BufferedOutputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;

/**
 * Log manager that keeps its handlers while the process shuts down. The JDK's log manager removes
 * them as soon as a termination signal arrives, but a planned stop may run for minutes after it.
 */
public final class DaemonLogManager extends LogManager {

    /** Creates the log manager; called by the JDK. */
    public DaemonLogManager() {
        super();
    }

    /**
     * Replaces the handlers of the root logger by one that writes all events to standard output.
     */
    public static void install() {
        System.setProperty("org.jboss.logging.provider", "jdk");
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        Level level = Boolean.getBoolean("sapphire.debug") ? Level.FINE : Level.INFO;
        BoundedLogHandler handler =
                new BoundedLogHandler(
                        outputOf(new FileOutputStream(FileDescriptor.out)),
                        MillisClock.monotonic(),
                        DaemonLogManager::logDroppedLines);
        handler.setLevel(level);
        root.addHandler(handler);
        root.setLevel(Level.INFO);
        Logger.getLogger("io.sapphirestack").setLevel(level);
    }

    /**
     * Returns a stream for log lines, which are JSON and therefore UTF-8. The charset of standard
     * output may lack characters of names.
     */
    static PrintStream outputOf(OutputStream out) {
        return new PrintStream(new BufferedOutputStream(out), false, StandardCharsets.UTF_8);
    }

    @Override
    public void reset() {
        // Empty: the JDK's shutdown hook calls it, and it would remove the handlers. The call at
        // startup has nothing to reset.
    }

    private static void logDroppedLines(long count) {
        EventLog log = EventLog.of(DaemonLogManager.class);
        log.warn("SAP1312", "Log lines were dropped", "count", count);
    }

    /**
     * Waits at most 500 ms until all queued events are written; called before the process exits.
     */
    public static void flush() {
        for (Handler handler : Logger.getLogger("").getHandlers()) {
            handler.flush();
        }
    }
}
