package io.sapphirestack.standins;

import io.sapphirestack.standins.demo.DemoCommand;
import io.sapphirestack.standins.demo.FleetCostCommand;
import io.sapphirestack.standins.engine.EngineCommand;
import io.sapphirestack.standins.load.LoadCommand;
import io.sapphirestack.standins.service.ServiceCommand;
import io.sapphirestack.standins.weights.WeightsCommand;
import java.io.IOException;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Main class of the stand-ins, the load command and the demonstration. */
public final class StandIns {

    private static final int USAGE_ERROR_STATUS = 2;

    private StandIns() {}

    /**
     * Runs a subcommand. Servers run until the process is killed; the other subcommands end the
     * process with their exit status.
     *
     * @param args command line
     * @throws IOException if an address cannot be bound
     * @throws InterruptedException if a subcommand is interrupted
     */
    public static void main(String[] args) throws IOException, InterruptedException {
        ArgumentParser parser =
                ArgumentParsers.newFor("standin")
                        .build()
                        .defaultHelp(true)
                        .description("Stand-ins for endpoints, load and demonstration.");
        Subparsers subparsers = parser.addSubparsers().dest("command").metavar("COMMAND");
        addSubcommand(
                subparsers, "engine", "run an engine", EngineCommand::addTo, EngineCommand::run);
        addSubcommand(
                subparsers,
                "service",
                "run a plain service",
                ServiceCommand::addTo,
                ServiceCommand::run);
        addSubcommand(
                subparsers,
                "weights",
                "run a weight store",
                WeightsCommand::addTo,
                WeightsCommand::run);
        addSubcommand(subparsers, "load", "send load", LoadCommand::addTo, LoadCommand::run);
        addSubcommand(
                subparsers,
                "demo",
                "demonstrate the system under faults",
                DemoCommand::addTo,
                DemoCommand::run);
        addSubcommand(
                subparsers,
                "fleet-cost",
                "measure the resource usage of an idle fleet",
                FleetCostCommand::addTo,
                FleetCostCommand::run);
        Namespace arguments;
        try {
            arguments = parser.parseArgs(args);
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(USAGE_ERROR_STATUS);
            return;
        }
        Subcommand command = arguments.get("run");
        int status = command.run(arguments);
        if (status != 0) {
            System.exit(status);
        }
    }

    private static void addSubcommand(
            Subparsers subparsers,
            String name,
            String help,
            java.util.function.Consumer<Subparser> arguments,
            Subcommand command) {
        Subparser subparser = subparsers.addParser(name, true).defaultHelp(true).help(help);
        arguments.accept(subparser);
        subparser.setDefault("run", command);
    }

    /** Runs a subcommand and returns its exit status. */
    @FunctionalInterface
    private interface Subcommand {
        int run(Namespace arguments) throws IOException, InterruptedException;
    }
}
