package io.sapphirestack.standins.demo;

import io.sapphirestack.core.time.MillisClock;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Subcommand that runs the demonstration. Stateless. */
public final class DemoCommand {

    private DemoCommand() {}

    /**
     * Adds the arguments.
     *
     * @param parser parser of the subcommand
     */
    public static void addTo(Subparser parser) {
        parser.addArgument("--root")
                .setDefault(System.getProperty("sapphire.root", "."))
                .help("root of the repository");
        parser.addArgument("--keep-s")
                .type(Long.class)
                .setDefault(0L)
                .help("seconds for which the fleet goes on after the last step");
    }

    /**
     * Runs the demonstration.
     *
     * @param arguments parsed arguments
     * @return 0 if everything held, otherwise 1
     * @throws IOException if a process cannot be started
     * @throws InterruptedException if the demonstration is interrupted
     */
    public static int run(Namespace arguments) throws IOException, InterruptedException {
        MillisClock clock = MillisClock.monotonic();
        long startMs = clock.nowMs();
        Path folder = Files.createTempDirectory("sapphire-demo");
        DemoReport report = new DemoReport();
        ExecutorService executor =
                Executors.newCachedThreadPool(
                        task -> {
                            Thread thread = new Thread(task, "caller");
                            thread.setDaemon(true);
                            return thread;
                        });
        try (ProcessGroup processes = new ProcessGroup(folder)) {
            DemoFleet fleet =
                    new DemoFleet(Path.of(arguments.getString("root")), folder, processes);
            fleet.start();
            new DemoScenario(fleet, report, executor).run();
            keep(fleet, arguments.getLong("keep_s"));
        } catch (IOException e) {
            report.add("a step", "could be carried out", false, e.getMessage());
        } finally {
            executor.shutdownNow();
        }
        System.out.print(report);
        boolean held = report.allHeld();
        System.out.printf(
                "%s after %d ms; logs and data are in %s%n",
                held ? "Everything held" : "Something did not hold",
                clock.nowMs() - startMs,
                folder);
        return held ? 0 : 1;
    }

    private static void keep(DemoFleet fleet, long seconds) throws InterruptedException {
        if (seconds > 0) {
            System.err.printf(
                    "The fleet goes on for %d s: --entry %s --key %s%n",
                    seconds, String.join(",", fleet.instanceAddresses()), DemoFleet.ACCOUNT_KEY);
            Thread.sleep(seconds * 1_000);
        }
    }
}
