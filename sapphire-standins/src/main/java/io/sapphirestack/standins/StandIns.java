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

/** Entry point of the stand-ins, the load command and the demonstration. */
public final class StandIns {

    private static final int BAD_USAGE = 2;

    private StandIns() {}

    /**
     * Runs a subcommand. Servers go on until the process is killed; the other subcommands end it
     * with their exit status.
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
        add(subparsers, "engine", "run an engine", EngineCommand::addTo, EngineCommand::run);
        add(
                subparsers,
                "service",
                "run a plain service",
                ServiceCommand::addTo,
                ServiceCommand::run);
        add(
                subparsers,
                "weights",
                "run a weight store",
                WeightsCommand::addTo,
                WeightsCommand::run);
        add(subparsers, "load", "send load", LoadCommand::addTo, LoadCommand::run);
        add(
                subparsers,
                "demo",
                "show the system under faults",
                DemoCommand::addTo,
                DemoCommand::run);
        add(
                subparsers,
                "fleet-cost",
                "measure what an idle fleet costs",
                FleetCostCommand::addTo,
                FleetCostCommand::run);
        Namespace arguments;
        try {
            arguments = parser.parseArgs(args);
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(BAD_USAGE);
            return;
        }
        Command command = arguments.get("run");
        int status = command.run(arguments);
        if (status != 0) {
            System.exit(status);
        }
    }

    private static void add(
            Subparsers subparsers,
            String name,
            String help,
            java.util.function.Consumer<Subparser> arguments,
            Command command) {
        Subparser subparser = subparsers.addParser(name, true).defaultHelp(true).help(help);
        arguments.accept(subparser);
        subparser.setDefault("run", command);
    }

    /** Runs a subcommand and returns its exit status. */
    @FunctionalInterface
    private interface Command {
        int run(Namespace arguments) throws IOException, InterruptedException;
    }
}
