package io.sapphirestack.daemon;

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;
import java.util.logging.StreamHandler;

/**
 * Log manager that keeps its handlers while the process shuts down. The JDK's own removes them as
 * soon as a termination signal arrives, but a planned stop then still runs for minutes.
 */
public final class DaemonLogManager extends LogManager {

    /** Creates the manager; called by the JDK. */
    public DaemonLogManager() {
        super();
    }

    /** Sends all events to the standard error stream. */
    public static void install() {
        System.setProperty("org.jboss.logging.provider", "jdk");
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        Level level = Boolean.getBoolean("sapphire.debug") ? Level.FINE : Level.INFO;
        StreamHandler handler = new FlushingHandler();
        handler.setLevel(level);
        root.addHandler(handler);
        root.setLevel(Level.INFO);
        Logger.getLogger("io.sapphirestack").setLevel(level);
    }

    @Override
    public void reset() {
        // Called by the shutdown hook of the JDK and once at start, when there is nothing to reset.
    }

    private static final class FlushingHandler extends StreamHandler {

        FlushingHandler() {
            super(System.err, new LogLineFormatter());
        }

        @Override
        public synchronized void publish(java.util.logging.LogRecord record) {
            super.publish(record);
            flush();
        }
    }
}
