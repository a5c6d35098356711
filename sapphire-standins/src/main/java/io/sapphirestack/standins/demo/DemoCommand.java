package io.sapphirestack.standins.demo;

import io.sapphirestack.client.ClientException;
import io.sapphirestack.client.SapphireClient;
import io.sapphirestack.core.time.MillisClock;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/**
 * Subcommand that demonstrates the system under faults and prints which requirements it met.
 * Stateless.
 */
public final class DemoCommand {

    private static final int FAILED_STATUS = 1;
    private static final long START_TIMEOUT_MS = 40_000;
    private static final Map<String, DemoStep> STEPS = createSteps();

    private DemoCommand() {}

    private static Map<String, DemoStep> createSteps() {
        Map<String, DemoStep> steps = new LinkedHashMap<>();
        steps.put("undisturbed", GenerationSteps::undisturbed);
        steps.put("engine-killed", GenerationSteps::engineKilled);
        steps.put("owner-killed", GenerationSteps::ownerKilled);
        steps.put("engine-and-owner-killed", GenerationSteps::engineAndOwnerKilled);
        steps.put("order-resent", OrderSteps::orderResentAfterLostResponse);
        steps.put("orders-twice", OrderSteps::ordersSentTwice);
        steps.put("reads", OrderSteps::readsUnderLoad);
        steps.put("record-changed", OperatorSteps::recordChanged);
        steps.put("endpoint-stopped", OperatorSteps::endpointStopped);
        steps.put("instance-stopped", OperatorSteps::instanceStopped);
        return steps;
    }

    /**
     * Adds the arguments of the subcommand.
     *
     * @param parser parser of the subcommand
     */
    public static void addTo(Subparser parser) {
        parser.addArgument("--instances").type(Integer.class).setDefault(10);
        parser.addArgument("--voters").type(Integer.class).setDefault(3);
        parser.addArgument("--engines").type(Integer.class).setDefault(6);
        parser.addArgument("--services").type(Integer.class).setDefault(2);
        parser.addArgument("--token-ms")
                .type(Long.class)
                .setDefault(5L)
                .help("time between tokens, in milliseconds");
        parser.addArgument("--steps")
                .setDefault(String.join(",", STEPS.keySet()))
                .help("steps to run, separated by commas; empty for none");
        parser.addArgument("--hold-s")
                .type(Long.class)
                .setDefault(0L)
                .help("seconds for which the system keeps running after the last step");
        parser.addArgument("--keep")
                .action(Arguments.storeTrue())
                .help("keep settings, data and logs after a success");
    }

    /**
     * Runs the demonstration.
     *
     * @param arguments parsed arguments
     * @return exit status: 0 if all requirements were met, otherwise 1
     * @throws IOException if the folder for settings, data and logs cannot be used
     */
    public static int run(Namespace arguments) throws IOException {
        MillisClock clock = MillisClock.monotonic();
        long startMs = clock.nowMs();
        Path folder = Files.createTempDirectory("sapphire-demo");
        FleetPlan plan =
                new FleetPlan(
                        arguments.getInt("instances"),
                        arguments.getInt("voters"),
                        arguments.getInt("engines"),
                        arguments.getInt("services"),
                        arguments.getLong("token_ms"));
        Fleet fleet =
                new Fleet(plan, Path.of(System.getProperty("sapphire.root", ".")), folder, clock);
        Thread hook = new Thread(fleet::close, "end-processes");
        Runtime.getRuntime().addShutdownHook(hook);
        List<StepResult> results = new ArrayList<>();
        try {
            runSteps(fleet, arguments, clock, results);
        } catch (ClientException | FleetException e) {
            results.add(new StepResult("demonstration", "runs to its end", false, e.getMessage()));
        } finally {
            fleet.close();
        }
        boolean allPassed = results.stream().allMatch(StepResult::passed);
        printTable(System.out, results);
        System.out.println(
                (allPassed ? "all held" : "NOT all held")
                        + " after "
                        + (clock.nowMs() - startMs)
                        + " ms");
        if (allPassed && !arguments.getBoolean("keep")) {
            fleet.deleteFolder();
        } else {
            System.out.println("settings, data and logs: " + folder);
        }
        return allPassed ? 0 : FAILED_STATUS;
    }

    private static void runSteps(
            Fleet fleet, Namespace arguments, MillisClock clock, List<StepResult> results)
            throws ClientException, FleetException {
        long startMs = clock.nowMs();
        ExecutorService executor = Executors.newCachedThreadPool();
        fleet.startInstances(START_TIMEOUT_MS);
        try (SapphireClient operator = fleet.client(Fleet.OPERATOR_KEY);
                SapphireClient caller = fleet.client(Fleet.ACCOUNT_KEY)) {
            DemoRecords.submit(fleet, operator);
            fleet.startEndpoints(START_TIMEOUT_MS);
            results.add(
                    new StepResult(
                            fleet.instanceNames().size() + " instances and all endpoints started",
                            "all are ready",
                            true,
                            "after " + (clock.nowMs() - startMs) + " ms"));
            DemoContext context = new DemoContext(fleet, operator, caller, executor, clock);
            for (String step : selectedSteps(arguments)) {
                StepResult result = STEPS.get(step).run(context);
                System.out.println(
                        (result.passed() ? "held    " : "FAILED  ")
                                + result.action()
                                + ": "
                                + result.measurement());
                results.add(result);
            }
            keepRunning(fleet, arguments.getLong("hold_s"));
        } finally {
            executor.shutdownNow();
        }
    }

    private static List<String> selectedSteps(Namespace arguments) throws FleetException {
        List<String> steps =
                Arrays.stream(arguments.getString("steps").split(","))
                        .filter(step -> !step.isEmpty())
                        .toList();
        for (String step : steps) {
            if (!STEPS.containsKey(step)) {
                throw new FleetException(
                        "arguments",
                        "local",
                        "no step " + step + "; there are " + STEPS.keySet(),
                        null);
            }
        }
        return steps;
    }

    private static void keepRunning(Fleet fleet, long seconds) throws FleetException {
        if (seconds <= 0) {
            return;
        }
        System.out.println("export SAPPHIRE_ADDRESSES=" + fleet.addresses());
        System.out.println(
                "operator key " + Fleet.OPERATOR_KEY + ", account key " + Fleet.ACCOUNT_KEY);
        long endMs = MillisClock.monotonic().nowMs() + seconds * 1_000;
        fleet.awaitCondition(
                "hold", "fleet", seconds * 2_000, () -> MillisClock.monotonic().nowMs() >= endMs);
    }

    private static void printTable(PrintStream out, List<StepResult> results) {
        String format = "%-56s | %-72s | %-6s | %s%n";
        out.printf("%n" + format, "what was done", "what had to hold", "held", "measured");
        for (StepResult result : results) {
            out.printf(
                    format,
                    result.action(),
                    result.requirement(),
                    result.passed() ? "yes" : "NO",
                    result.measurement());
        }
    }
}
