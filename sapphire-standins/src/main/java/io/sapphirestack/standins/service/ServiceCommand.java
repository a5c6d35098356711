package io.sapphirestack.standins.service;

import io.sapphirestack.standins.support.EntryArguments;
import java.io.IOException;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.jboss.logging.Logger;

/** Subcommand that runs a stand-in plain service until the process ends. Stateless. */
public final class ServiceCommand {

    private static final Logger LOG = Logger.getLogger(ServiceCommand.class);

    private ServiceCommand() {}

    /**
     * Adds the arguments.
     *
     * @param parser parser of the subcommand
     */
    public static void addTo(Subparser parser) {
        EntryArguments.addTo(parser, "ledger");
        parser.addArgument("--look-up")
                .action(Arguments.storeTrue())
                .help("outcomes of orders can be looked up");
        parser.addArgument("--delay-ms").type(Long.class).setDefault(0L);
        parser.addArgument("--drop-answers")
                .type(Integer.class)
                .setDefault(0)
                .help("orders that run but get no answer, counted from the start");
        parser.addArgument("--refuse-orders")
                .type(Integer.class)
                .setDefault(0)
                .help("orders that are answered not-run, counted from the start");
    }

    /**
     * Starts the service.
     *
     * @param arguments parsed arguments
     * @return exit status; the process goes on until it is killed
     * @throws IOException if the address cannot be bound
     */
    public static int run(Namespace arguments) throws IOException {
        ServiceServer server =
                ServiceServer.start(arguments.getString("listen"), arguments.getBoolean("look_up"));
        server.faults().delay(arguments.getLong("delay_ms"));
        server.faults().dropAnswers(arguments.getInt("drop_answers"));
        server.faults().refuseOrders(arguments.getInt("refuse_orders"));
        LOG.infof(
                "SAP4001 plain service %s listens on %s",
                arguments.getString("id"), server.address());
        EntryArguments.announce(arguments, server::announcement);
        return 0;
    }
}
