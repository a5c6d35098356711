package io.sapphirestack.daemon;

import io.sapphirestack.core.error.SapphireException;
import io.sapphirestack.runtime.metrics.EventLog;
import java.io.PrintStream;
import java.nio.file.Path;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/** Main class of the daemon. */
public final class Sapphired {

    private Sapphired() {}

    /**
     * Runs an instance until its planned stop.
     *
     * @param arguments command-line arguments; see {@code --help}
     */
    public static void main(String[] arguments) {
        // The schema validator logs through SLF4J, for which there is no provider.
        System.setProperty("slf4j.internal.verbosity", "ERROR");
        // Must be set before DaemonLogManager is first used, which initializes the JDK's log
        // manager.
        System.setProperty("java.util.logging.manager", "io.sapphirestack.daemon.DaemonLogManager");
        DaemonLogManager.install();
        int status = run(arguments, System.out, System.err);
        DaemonLogManager.flush();
        System.exit(status);
    }

    /**
     * Returns the exit status, unless an instance was started; it halts the process at its stop.
     */
    static int run(String[] arguments, PrintStream out, PrintStream err) {
        ArgumentParser parser = parser();
        try {
            Namespace namespace = parser.parseArgs(arguments);
            if (namespace.getBoolean("version")) {
                out.println("sapphired " + version());
                return InstanceProcess.EXIT_OK;
            }
            String file = namespace.getString("config");
            if (file == null) {
                err.println("sapphired: --config FILE is required");
                return InstanceProcess.EXIT_USAGE;
            }
            DaemonSettings settings = SettingsReader.read(Path.of(file));
            if (namespace.getBoolean("check")) {
                out.println(file + " is valid");
                return InstanceProcess.EXIT_OK;
            }
            return startInstance(settings, err);
        } catch (HelpScreenException e) {
            return InstanceProcess.EXIT_OK;
        } catch (ArgumentParserException e) {
            err.println("sapphired: " + e.getMessage());
            return InstanceProcess.EXIT_USAGE;
        } catch (SettingsException e) {
            e.problems().forEach(problem -> err.println("sapphired: " + problem));
            return InstanceProcess.EXIT_USAGE;
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
                .help("check the settings file and exit");
        parser.addArgument("--version").action(Arguments.storeTrue()).help("print the version");
        return parser;
    }

    private static String version() {
        String version = Sapphired.class.getPackage().getImplementationVersion();
        return version == null ? "development" : version;
    }

    private static int startInstance(DaemonSettings settings, PrintStream err) {
        try {
            PeerListener listener =
                    new PeerListener("peer", settings.peerListen(), settings.clusterKey());
            // A running instance does not reload its settings; the handler keeps SIGHUP from ending
            // it.
            InstanceProcess.onReload(() -> {});
            return InstanceProcess.run(new InstanceAssembly(settings, listener));
        } catch (SapphireException e) {
            EventLog.of(Sapphired.class).error("SAP1310", e, "Instance cannot start");
            err.println("sapphired: " + e.getMessage());
            return InstanceProcess.EXIT_FAILED;
        }
    }
}
