package io.sapphirestack.daemon;

import io.sapphirestack.core.error.SapphireException;
import io.sapphirestack.runtime.metrics.EventLog;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/** Main program of the daemon. */
public final class Sapphired {

    /** Exit status after a planned stop. */
    static final int EXIT_OK = 0;

    /** Exit status when the instance cannot start. */
    static final int EXIT_FAILED = 1;

    /** Exit status for wrong arguments or settings. */
    static final int EXIT_USAGE = 2;

    // Work that a planned stop waits for is bounded by its record; this is only a last limit.
    private static final long STOP_LIMIT_H = 24;

    private Sapphired() {}

    /**
     * Runs an instance until its planned stop.
     *
     * @param arguments see {@code --help}
     */
    public static void main(String[] arguments) {
        // The schema validator logs through SLF4J, for which there is no provider.
        System.setProperty("slf4j.internal.verbosity", "ERROR");
        // Must come before the first use of the class, which also initializes the JDK's manager.
        System.setProperty("java.util.logging.manager", "io.sapphirestack.daemon.DaemonLogManager");
        DaemonLogManager.install();
        System.exit(run(arguments, System.out, System.err));
    }

    /** Returns the exit status; an instance that started ends the process by itself. */
    static int run(String[] arguments, PrintStream out, PrintStream err) {
        ArgumentParser parser = parser();
        try {
            Namespace namespace = parser.parseArgs(arguments);
            if (namespace.getBoolean("version")) {
                out.println("sapphired " + version());
                return EXIT_OK;
            }
            String file = namespace.getString("config");
            if (file == null) {
                err.println("sapphired: --config FILE is required");
                return EXIT_USAGE;
            }
            DaemonSettings settings = SettingsReader.read(Path.of(file));
            if (namespace.getBoolean("check")) {
                out.println(file + " is valid");
                return EXIT_OK;
            }
            return start(settings, err);
        } catch (HelpScreenException e) {
            return EXIT_OK;
        } catch (ArgumentParserException e) {
            err.println("sapphired: " + e.getMessage());
            return EXIT_USAGE;
        } catch (SettingsException e) {
            e.problems().forEach(problem -> err.println("sapphired: " + problem));
            return EXIT_USAGE;
        }
    }

    private static ArgumentParser parser() {
        ArgumentParser parser =
                ArgumentParsers.newFor("sapphired")
                        .build()
                        .description("Runs one instance of sapphirestack.");
        parser.addArgument("--config").metavar("FILE").help("settings file (JSON)");
        parser.addArgument("--check")
                .action(Arguments.storeTrue())
                .help("only check the settings file");
        parser.addArgument("--version").action(Arguments.storeTrue()).help("print the version");
        return parser;
    }

    private static String version() {
        String version = Sapphired.class.getPackage().getImplementationVersion();
        return version == null ? "development" : version;
    }

    private static int start(DaemonSettings settings, PrintStream err) {
        EventLog log = EventLog.of(Sapphired.class);
        try {
            PeerListener listener =
                    new PeerListener("peer", settings.peerListen(), settings.clusterKey());
            InstanceAssembly assembly = new InstanceAssembly(settings, listener);
            Thread stopper = new Thread(() -> stopOnSignal(assembly), "stop");
            Runtime.getRuntime().addShutdownHook(stopper);
            assembly.start();
            // During a stop by signal this thread runs on while the hook waits.
            assembly.lifecycle().left().join();
            assembly.close();
            log.info("SAP1309", "Instance has stopped");
            Runtime.getRuntime().halt(EXIT_OK);
            return EXIT_OK;
        } catch (SapphireException e) {
            log.error("SAP1310", e, "Instance cannot start");
            err.println("sapphired: " + e.getMessage());
            return EXIT_FAILED;
        }
    }

    private static void stopOnSignal(InstanceAssembly assembly) {
        assembly.lifecycle().planStop();
        try {
            assembly.lifecycle().left().orTimeout(STOP_LIMIT_H, TimeUnit.HOURS).join();
            // The main thread ends the process now; until then the hook must not return.
            TimeUnit.HOURS.sleep(STOP_LIMIT_H);
        } catch (CompletionException e) {
            Runtime.getRuntime().halt(EXIT_FAILED);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
