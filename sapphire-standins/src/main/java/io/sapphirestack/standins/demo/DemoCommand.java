package io.sapphirestack.standins.demo;

import io.sapphirestack.client.ClientException;
import io.sapphirestack.client.SapphireClient;
import io.sapphirestack.core.time.MillisClock;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Subcommand that shows the system under faults and prints what held. Stateless. */
public final class DemoCommand {

    private static final int FAILED = 1;
    private static final long START_TIMEOUT_MS = 40_000;
    private static final List<Scenario> SCENARIOS =
            List.of(
                    GenerationScenarios::undisturbed,
                    GenerationScenarios::engineKilled,
                    GenerationScenarios::ownerKilled,
                    GenerationScenarios::engineAndOwnerKilled,
                    OrderScenarios::answerCutAndResent,
                    OrderScenarios::manyOrdersTwice,
                    OrderScenarios::readsUnderLoad,
                    OperatorScenarios::recordChanged,
                    OperatorScenarios::endpointStopped,
                    OperatorScenarios::instanceStopped);

    private DemoCommand() {}

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
            play(fleet, clock, rows);
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

    private static void play(Fleet fleet, MillisClock clock, List<DemoRow> rows)
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
            for (Scenario scenario : SCENARIOS) {
                DemoRow row = scenario.run(world);
                System.out.println(
                        (row.held() ? "held    " : "FAILED  ")
                                + row.done()
                                + ": "
                                + row.measured());
                rows.add(row);
            }
        } finally {
            executor.shutdownNow();
        }
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
