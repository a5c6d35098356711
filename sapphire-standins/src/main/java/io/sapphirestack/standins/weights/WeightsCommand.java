package io.sapphirestack.standins.weights;

import java.io.IOException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.jboss.logging.Logger;

/** Subcommand that runs a stand-in weight store until the process is killed. Stateless. */
public final class WeightsCommand {

    private static final Logger LOG = Logger.getLogger(WeightsCommand.class);

    private WeightsCommand() {}

    /**
     * Adds the arguments of the subcommand.
     *
     * @param parser parser of the subcommand
     */
    public static void addTo(Subparser parser) {
        parser.addArgument("--listen").setDefault("127.0.0.1:0").help("host:port to serve on");
        parser.addArgument("--bytes-per-s").type(Long.class).setDefault(50_000_000L);
    }

    /**
     * Starts the store.
     *
     * @param arguments parsed arguments
     * @return exit status 0; the server threads keep the process running until it is killed
     * @throws IOException if the address cannot be bound
     */
    public static int run(Namespace arguments) throws IOException {
        WeightServer server =
                WeightServer.start(arguments.getString("listen"), arguments.getLong("bytes_per_s"));
        LOG.infof("SAP4001 weight store is listening on %s", server.address());
        return 0;
    }
}
