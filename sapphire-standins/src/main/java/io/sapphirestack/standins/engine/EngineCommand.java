package io.sapphirestack.standins.engine;

import io.sapphirestack.core.record.ModelPin;
import io.sapphirestack.standins.support.EndpointArguments;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.jboss.logging.Logger;

/** Subcommand that runs a stand-in engine until the process is killed. Stateless. */
public final class EngineCommand {

    private static final Logger LOG = Logger.getLogger(EngineCommand.class);
    // Exit status that a shell reports for a process killed by SIGKILL.
    private static final int SIGKILL_EXIT_STATUS = 137;

    private EngineCommand() {}

    /**
     * Adds the arguments of the subcommand.
     *
     * @param parser parser of the subcommand
     */
    public static void addTo(Subparser parser) {
        EndpointArguments.addTo(parser, "scribe");
        parser.addArgument("--model")
                .setDefault("base::1")
                .help("MODEL:ADAPTER:VERSION,... loaded at startup; empty for none");
        parser.addArgument("--weights")
                .setDefault("")
                .help("host:port of the weight store; empty to complete every load at once");
        parser.addArgument("--slots").type(Integer.class).setDefault(8);
        parser.addArgument("--max-queue").type(Integer.class).setDefault(64);
        parser.addArgument("--token-ms").type(Long.class).setDefault(20L);
        parser.addArgument("--prefill-ms-per-block").type(Long.class).setDefault(10L);
        parser.addArgument("--cache-blocks").type(Integer.class).setDefault(4_096);
        parser.addArgument("--cache-event-lag-ms").type(Long.class).setDefault(300L);
        parser.addArgument("--cache-event-loss").type(Double.class).setDefault(0.05);
        parser.addArgument("--load-lag-ms").type(Long.class).setDefault(300L);
        parser.addArgument("--network-delay-ms").type(Long.class).setDefault(0L);
        parser.addArgument("--output-depends-on-attempt").action(Arguments.storeTrue());
        parser.addArgument("--fencing").choices("checked", "ignored").setDefault("checked");
        parser.addArgument("--seed").type(Long.class).setDefault(1L);
        parser.addArgument("--exit-after-tokens").type(Long.class).setDefault(0L);
        parser.addArgument("--silence-after-tokens")
                .type(Long.class)
                .setDefault(0L)
                .help(
                        "one connection stays open but sends no data after this many tokens; 0 to disable");
        parser.addArgument("--slow-down").type(Double.class).setDefault(1.0);
    }

    /**
     * Starts the engine.
     *
     * @param arguments parsed arguments
     * @return exit status 0; the server threads keep the process running until it is killed
     * @throws IOException if the address cannot be bound
     */
    public static int run(Namespace arguments) throws IOException {
        EngineServer engine =
                EngineServer.start(
                        parseOptions(arguments),
                        arguments.getString("listen"),
                        parsePins(arguments.getString("model")),
                        arguments.getString("weights"),
                        () -> Runtime.getRuntime().halt(SIGKILL_EXIT_STATUS));
        injectFaults(engine.faults(), arguments);
        LOG.infof(
                "SAP4001 engine %s is listening on %s",
                arguments.getString("id"), engine.address());
        EndpointArguments.startAnnouncing(arguments, engine::announcement);
        return 0;
    }

    private static EngineOptions parseOptions(Namespace arguments) {
        return new EngineOptions(
                arguments.getInt("slots"),
                arguments.getInt("max_queue"),
                arguments.getLong("token_ms"),
                arguments.getLong("prefill_ms_per_block"),
                arguments.getInt("cache_blocks"),
                arguments.getLong("cache_event_lag_ms"),
                arguments.getDouble("cache_event_loss"),
                arguments.getLong("load_lag_ms"),
                arguments.getLong("network_delay_ms"),
                arguments.getBoolean("output_depends_on_attempt"),
                arguments.getString("fencing").equals("checked"),
                arguments.getLong("seed"));
    }

    private static void injectFaults(EngineFaults faults, Namespace arguments) {
        faults.slowDownFactor(arguments.getDouble("slow_down"));
        if (arguments.getLong("exit_after_tokens") > 0) {
            faults.exitAfterTokens(arguments.getLong("exit_after_tokens"));
        }
        if (arguments.getLong("silence_after_tokens") > 0) {
            faults.stallOneStreamAfterTokens(arguments.getLong("silence_after_tokens"));
        }
    }

    private static List<ModelPin> parsePins(String list) {
        List<ModelPin> pins = new ArrayList<>();
        for (String text : EndpointArguments.splitList(list)) {
            String[] parts = text.split(":", -1);
            if (parts.length != 3) {
                throw new IllegalArgumentException(
                        "--model: expected MODEL:ADAPTER:VERSION but got " + text);
            }
            pins.add(new ModelPin(parts[0], parts[1], parts[2]));
        }
        return pins;
    }
}
