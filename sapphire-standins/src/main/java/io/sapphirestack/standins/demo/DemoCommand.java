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

/** Subcommand that shows the system under faults and prints what held. Stateless. */
public final class DemoCommand {

    private static final int FAILED = 1;
    private static final long START_TIMEOUT_MS = 40_000;
    private static final Map<String, Scenario> SCENARIOS = scenarios();

    private DemoCommand() {}

    private static Map<String, Scenario> scenarios() {
        Map<String, Scenario> scenarios = new LinkedHashMap<>();
        scenarios.put("undisturbed", GenerationScenarios::undisturbed);
        scenarios.put("engine-killed", GenerationScenarios::engineKilled);
        scenarios.put("owner-killed", GenerationScenarios::ownerKilled);
        scenarios.put("engine-and-owner-killed", GenerationScenarios::engineAndOwnerKilled);
        scenarios.put("order-resent", OrderScenarios::answerCutAndResent);
        scenarios.put("orders-twice", OrderScenarios::manyOrdersTwice);
        scenarios.put("reads", OrderScenarios::readsUnderLoad);
        scenarios.put("record-changed", OperatorScenarios::recordChanged);
        scenarios.put("endpoint-stopped", OperatorScenarios::endpointStopped);
        scenarios.put("instance-stopped", OperatorScenarios::instanceStopped);
        return scenarios;
    }

    /**
     * Adds the arguments.
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
                .setDefault(String.join(",", SCENARIOS.keySet()))
                .help("steps to run, separated by commas; empty for none");
        parser.addArgument("--hold-s")
                .type(Long.class)
                .setDefault(0L)
                .help("seconds for which the system goes on after the last step");
        parser.addArgument("--keep")
                .action(Arguments.storeTrue())
                .help("keep settings, data and logs");
    }

    /**
     * Runs the demonstration.
     *
     * @param arguments parsed arguments
     * @return 0 if all held
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
        List<DemoRow> rows = new ArrayList<>();
        try {
            play(fleet, arguments, clock, rows);
        } catch (ClientException | FleetException e) {
            rows.add(new DemoRow("demonstration", "runs to its end", false, e.getMessage()));
        } finally {
            fleet.close();
        }
        boolean held = rows.stream().allMatch(DemoRow::held);
        print(System.out, rows);
        System.out.println(
                (held ? "all held" : "NOT all held")
                        + " after "
                        + (clock.nowMs() - startMs)
                        + " ms");
        if (held && !arguments.getBoolean("keep")) {
            fleet.deleteFolder();
        } else {
            System.out.println("settings, data and logs: " + folder);
        }
        return held ? 0 : FAILED;
    }

    private static void play(
            Fleet fleet, Namespace arguments, MillisClock clock, List<DemoRow> rows)
            throws ClientException, FleetException {
        long startMs = clock.nowMs();
        ExecutorService executor = Executors.newCachedThreadPool();
        fleet.startInstances(START_TIMEOUT_MS);
        try (SapphireClient operator = fleet.client(Fleet.OPERATOR_KEY);
                SapphireClient caller = fleet.client(Fleet.ACCOUNT_KEY)) {
            DemoRecords.submit(fleet, operator);
            fleet.startEndpoints(START_TIMEOUT_MS);
            rows.add(
                    new DemoRow(
                            fleet.instanceNames().size() + " instances and all endpoints started",
                            "all are ready",
                            true,
                            "after " + (clock.nowMs() - startMs) + " ms"));
            DemoWorld world = new DemoWorld(fleet, operator, caller, executor, clock);
            for (String step : steps(arguments)) {
                DemoRow row = SCENARIOS.get(step).run(world);
                System.out.println(
                        (row.held() ? "held    " : "FAILED  ")
                                + row.done()
                                + ": "
                                + row.measured());
                rows.add(row);
            }
            hold(fleet, arguments.getLong("hold_s"));
        } finally {
            executor.shutdownNow();
        }
    }

    private static List<String> steps(Namespace arguments) throws FleetException {
        List<String> steps =
                Arrays.stream(arguments.getString("steps").split(","))
                        .filter(step -> !step.isEmpty())
                        .toList();
        for (String step : steps) {
            if (!SCENARIOS.containsKey(step)) {
                throw new FleetException(
                        "arguments",
                        "local",
                        "no step " + step + "; there are " + SCENARIOS.keySet(),
                        null);
            }
        }
        return steps;
    }

    private static void hold(Fleet fleet, long seconds) throws FleetException {
        if (seconds <= 0) {
            return;
        }
        System.out.println("export SAPPHIRE_ADDRESSES=" + fleet.addresses());
        System.out.println(
                "operator key " + Fleet.OPERATOR_KEY + ", account key " + Fleet.ACCOUNT_KEY);
        long endMs = MillisClock.monotonic().nowMs() + seconds * 1_000;
        fleet.await(
                "hold", "fleet", seconds * 2_000, () -> MillisClock.monotonic().nowMs() >= endMs);
    }

    private static void print(PrintStream out, List<DemoRow> rows) {
        String format = "%-56s | %-72s | %-6s | %s%n";
        out.printf("%n" + format, "what was done", "what had to hold", "held", "measured");
        for (DemoRow row : rows) {
            out.printf(
                    format, row.done(), row.mustHold(), row.held() ? "yes" : "NO", row.measured());
        }
    }
}
