package io.sapphirestack.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sapphirestack.client.ClientException;
import io.sapphirestack.client.ClientOptions;
import io.sapphirestack.client.SapphireClient;
import io.sapphirestack.core.time.MillisClock;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.Map;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Main class of the command line for operators and callers. */
public final class SapphireCli {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final PrintStream out;
    private final PrintStream err;
    private final Map<String, String> environment;

    /**
     * Creates a command line program.
     *
     * @param out standard output
     * @param err standard error
     * @param environment environment variables, for the defaults of options
     */
    public SapphireCli(PrintStream out, PrintStream err, Map<String, String> environment) {
        this.out = out;
        this.err = err;
        this.environment = Map.copyOf(environment);
    }

    /**
     * Runs the program.
     *
     * @param args command-line arguments
     */
    public static void main(String[] args) {
        System.exit(new SapphireCli(System.out, System.err, System.getenv()).run(args).number());
    }

    /**
     * Runs one command.
     *
     * @param args command-line arguments
     * @return exit code
     */
    public ExitCode run(String... args) {
        ArgumentParser parser = createParser();
        Namespace arguments;
        try {
            arguments = parser.parseArgs(args);
        } catch (HelpScreenException e) {
            return ExitCode.OK;
        } catch (ArgumentParserException e) {
            parser.handleError(e, new java.io.PrintWriter(err, true));
            return ExitCode.USAGE;
        }
        boolean json = arguments.getString("output").equals("json");
        CliCommand command = arguments.get("command");
        MillisClock clock = MillisClock.monotonic();
        try (SapphireClient client = new SapphireClient(clientOptions(arguments), clock)) {
            return command.run(
                    new CommandContext(
                            client, arguments, new ResultPrinter(out, err, json), clock));
        } catch (CliException e) {
            printFailure(json, e.exitCode(), e.getMessage(), null);
            return e.exitCode();
        } catch (ClientException e) {
            ExitCode exitCode = ExitCode.of(e);
            printFailure(json, exitCode, e.getMessage(), e);
            return exitCode;
        } catch (IllegalArgumentException e) {
            printFailure(json, ExitCode.USAGE, e.getMessage(), null);
            return ExitCode.USAGE;
        }
    }

    private void printFailure(
            boolean json, ExitCode exitCode, String message, ClientException failure) {
        if (!json) {
            err.println("sapphire: " + message);
            if (failure != null) {
                failure.problem().ifPresent(problem -> err.println("ran: " + problem.executed()));
            }
            return;
        }
        ObjectNode result =
                MAPPER.createObjectNode().put("error", message).put("exitCode", exitCode.number());
        if (failure != null) {
            failure.problem().ifPresent(problem -> result.set("problem", problem.body()));
        }
        err.println(result);
    }

    private ClientOptions clientOptions(Namespace arguments) throws CliException {
        String keyFile = arguments.getString("key_file");
        String key =
                keyFile == null ? arguments.getString("key") : InputFiles.readText(keyFile).trim();
        return new ClientOptions(
                Arrays.asList(arguments.getString("addresses").split(",")),
                key,
                arguments.getLong("timeout_ms"),
                ClientOptions.DEFAULT_STREAM_READ_TIMEOUT_MS);
    }

    private ArgumentParser createParser() {
        ArgumentParser parser =
                ArgumentParsers.newFor("sapphire")
                        .build()
                        .description("Command line of sapphirestack for operators and callers.")
                        .epilog(
                                "Exit codes: 0 succeeded, 1 failed, 2 invalid arguments, 3 refused and not executed, "
                                        + "4 outcome unknown, 5 conflict with another change, 6 not found, "
                                        + "7 invalid key or no permission, 8 no address responded, 9 timed out.");
        parser.addArgument("--addresses")
                .setDefault(environment.getOrDefault("SAPPHIRE_ADDRESSES", "127.0.0.1:8101"))
                .help(
                        "addresses to contact first, host:port separated by commas; default from SAPPHIRE_ADDRESSES");
        parser.addArgument("--key")
                .setDefault(environment.getOrDefault("SAPPHIRE_KEY", ""))
                .help("bearer key; default from SAPPHIRE_KEY");
        parser.addArgument("--key-file").help("file with the bearer key");
        parser.addArgument("--output")
                .choices("text", "json")
                .setDefault("text")
                .help("format of results");
        parser.addArgument("--timeout-ms")
                .type(Long.class)
                .setDefault(30_000L)
                .help(
                        "timeout of a request or a wait, in milliseconds; for a generation, time without a new token");
        Subparsers commands = parser.addSubparsers().title("commands").metavar("COMMAND");
        RecordCommands.register(commands);
        FleetCommands.register(commands);
        CallerCommands.register(commands);
        ReportCommands.register(commands);
        ExplainCommand.register(commands);
        return parser;
    }
}
