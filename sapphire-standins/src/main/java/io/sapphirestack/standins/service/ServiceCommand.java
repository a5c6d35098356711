package io.sapphirestack.standins.service;

import io.sapphirestack.standins.support.EndpointArguments;
import java.io.IOException;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.jboss.logging.Logger;

/** Subcommand that runs a stand-in plain service until the process is killed. Stateless. */
public final class ServiceCommand {

    private static final Logger LOG = Logger.getLogger(ServiceCommand.class);

    private ServiceCommand() {}

    /**
     * Adds the arguments of the subcommand.
     *
     * @param parser parser of the subcommand
     */
    public static void addTo(Subparser parser) {
        EndpointArguments.addTo(parser, "ledger");
        parser.addArgument("--look-up")
                .action(Arguments.storeTrue())
                .help("allow callers to look up the outcome of an order");
        parser.addArgument("--delay-ms").type(Long.class).setDefault(0L);
        parser.addArgument("--drop-answers")
                .type(Integer.class)
                .setDefault(0)
                .help("number of first orders that are executed without a response");
        parser.addArgument("--refuse-orders")
                .type(Integer.class)
                .setDefault(0)
                .help("number of first orders that are refused without being executed");
    }

    /**
     * Starts the service.
     *
     * @param arguments parsed arguments
     * @return exit status 0; the server threads keep the process running until it is killed
     * @throws IOException if the address cannot be bound
     */
    public static int run(Namespace arguments) throws IOException {
        ServiceServer server =
                ServiceServer.start(arguments.getString("listen"), arguments.getBoolean("look_up"));
        server.faults().setDelayMs(arguments.getLong("delay_ms"));
        server.faults().dropResponses(arguments.getInt("drop_answers"));
        server.faults().refuseOrders(arguments.getInt("refuse_orders"));
        LOG.infof(
                "SAP4001 plain service %s is listening on %s",
                arguments.getString("id"), server.address());
        EndpointArguments.startAnnouncing(arguments, server::announcement);
        return 0;
    }
}
