package io.sapphirestack.standins.load;

import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.standins.support.EndpointArguments;
import io.sapphirestack.standins.support.JsonSupport;
import java.nio.charset.StandardCharsets;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Subcommand that sends load to a running system and prints latencies and counts. Stateless. */
public final class LoadCommand {

    private LoadCommand() {}

    /**
     * Adds the arguments of the subcommand.
     *
     * @param parser parser of the subcommand
     */
    public static void addTo(Subparser parser) {
        parser.addArgument("--entry").required(true).help("host:port,... of instances");
        parser.addArgument("--key").required(true).help("bearer key of the client account");
        parser.addArgument("--model").setDefault("m1");
        parser.addArgument("--service").setDefault("ledger");
        parser.addArgument("--duration-s").type(Long.class).setDefault(10L);
        parser.addArgument("--generations-per-s").type(Double.class).setDefault(2.0);
        parser.addArgument("--orders-per-s").type(Double.class).setDefault(5.0);
        parser.addArgument("--reads-per-s").type(Double.class).setDefault(20.0);
        parser.addArgument("--tokens").type(Integer.class).setDefault(100);
        parser.addArgument("--prompt-bytes").type(Integer.class).setDefault(8_192);
        parser.addArgument("--seed").type(Long.class).setDefault(1L);
        parser.addArgument("--output").choices("text", "json").setDefault("text");
    }

    /**
     * Sends the load.
     *
     * @param arguments parsed arguments
     * @return exit status: 0 if no response violated the API contract, otherwise 1
     * @throws InterruptedException if the load is interrupted
     */
    public static int run(Namespace arguments) throws InterruptedException {
        LoadOptions options =
                new LoadOptions(
                        EndpointArguments.splitList(arguments.getString("entry")),
                        arguments.getString("key"),
                        arguments.getString("model"),
                        arguments.getString("service"),
                        arguments.getLong("duration_s"),
                        arguments.getDouble("generations_per_s"),
                        arguments.getDouble("orders_per_s"),
                        arguments.getDouble("reads_per_s"),
                        arguments.getInt("tokens"),
                        arguments.getInt("prompt_bytes"),
                        arguments.getLong("seed"));
        LoadStatistics statistics = new LoadStatistics();
        new LoadRunner(options, MillisClock.monotonic(), statistics).run();
        System.out.println(
                arguments.getString("output").equals("json")
                        ? new String(
                                JsonSupport.toBytes(statistics.toMap()), StandardCharsets.UTF_8)
                        : statistics.toText());
        return statistics.contractViolations() == 0 ? 0 : 1;
    }
}
