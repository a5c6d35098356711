package io.sapphirestack.standins.demo;

import com.fasterxml.jackson.databind.JsonNode;
import io.sapphirestack.client.ClientException;
import io.sapphirestack.client.ClientRequest;
import io.sapphirestack.client.SapphireClient;
import io.sapphirestack.core.time.MillisClock;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.TreeMap;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/**
 * Subcommand that measures the resource usage of an idle fleet: processor time, resident memory and
 * bytes transferred between instances, by role and for several fleet sizes. Stateless.
 */
public final class FleetCostCommand {

    private static final int FAILED_STATUS = 1;
    private static final long START_TIMEOUT_MS = 60_000;
    private static final double CLOCK_TICKS_PER_S = 100;

    private FleetCostCommand() {}

    /**
     * Adds the arguments of the subcommand.
     *
     * @param parser parser of the subcommand
     */
    public static void addTo(Subparser parser) {
        parser.addArgument("--sizes")
                .setDefault("4,10,20,40")
                .help("numbers of instances, separated by commas");
        parser.addArgument("--engines").type(Integer.class).setDefault(6);
        parser.addArgument("--settle-s").type(Long.class).setDefault(15L);
        parser.addArgument("--sample-s").type(Long.class).setDefault(15L);
    }

    /**
     * Runs the measurement.
     *
     * @param arguments parsed arguments
     * @return exit status: 0 if all sizes were measured, otherwise 1
     * @throws IOException if the folder for settings, data and logs cannot be used
     */
    public static int run(Namespace arguments) throws IOException {
        System.out.println("instances role     cpu%  resident_MB  peer_KB/s  change_in_force_ms");
        for (String size : arguments.getString("sizes").split(",")) {
            FleetPlan plan =
                    new FleetPlan(
                            Integer.parseInt(size),
                            Math.min(3, Integer.parseInt(size)),
                            arguments.getInt("engines"),
                            0,
                            20);
            Path folder = Files.createTempDirectory("sapphire-cost");
            Fleet fleet =
                    new Fleet(
                            plan,
                            Path.of(System.getProperty("sapphire.root", ".")),
                            folder,
                            MillisClock.monotonic());
            Thread hook = new Thread(fleet::close, "end-processes");
            Runtime.getRuntime().addShutdownHook(hook);
            try {
                measure(fleet, arguments);
            } catch (ClientException | FleetException e) {
                System.out.println(size + " instances: " + e.getMessage() + "; logs in " + folder);
                return FAILED_STATUS;
            } finally {
                fleet.close();
            }
            fleet.deleteFolder();
        }
        return 0;
    }

    private static void measure(Fleet fleet, Namespace arguments)
            throws IOException, ClientException, FleetException {
        fleet.startInstances(START_TIMEOUT_MS);
        try (SapphireClient operator = fleet.client(Fleet.OPERATOR_KEY)) {
            DemoRecords.submit(fleet, operator);
            fleet.startEndpoints(START_TIMEOUT_MS);
            pauseSeconds(fleet, arguments.getLong("settle_s"));
            List<ResourceSample> before = takeSamples(fleet);
            pauseSeconds(fleet, arguments.getLong("sample_s"));
            List<ResourceSample> after = takeSamples(fleet);
            long inForceMs =
                    fleet.putRecord(
                            operator, "account/" + DemoRecords.ACCOUNT, DemoRecords.account());
            JsonNode status = operator.call(ClientRequest.of("GET", "/admin/v1/fleet")).json();
            printByRole(
                    fleet,
                    status.path("leader").asText(),
                    before,
                    after,
                    arguments.getLong("sample_s"),
                    inForceMs);
        }
    }

    private static void pauseSeconds(Fleet fleet, long seconds) throws FleetException {
        long endMs = MillisClock.monotonic().nowMs() + seconds * 1_000;
        fleet.awaitCondition(
                "pause", "fleet", seconds * 2_000, () -> MillisClock.monotonic().nowMs() >= endMs);
    }

    private record ResourceSample(double cpuS, double residentMb, double peerKb) {}

    private static List<ResourceSample> takeSamples(Fleet fleet) throws IOException {
        List<ResourceSample> samples = new ArrayList<>();
        for (String name : fleet.instanceNames()) {
            Path proc = Path.of("/proc", Long.toString(fleet.process(name).pid()));
            String[] stat = Files.readString(proc.resolve("stat")).split(" ");
            double cpuS =
                    (Double.parseDouble(stat[13]) + Double.parseDouble(stat[14]))
                            / CLOCK_TICKS_PER_S;
            double residentMb =
                    Files.readAllLines(proc.resolve("status")).stream()
                            .filter(line -> line.startsWith("VmRSS:"))
                            .mapToDouble(
                                    line ->
                                            Double.parseDouble(line.replaceAll("[^0-9]", ""))
                                                    / 1_024)
                            .findFirst()
                            .orElse(Double.NaN);
            double peerKb =
                    HttpProbe.metric(fleet.address(name), "sapphire_peer_transferred_bytes")
                            / 1_024;
            samples.add(new ResourceSample(cpuS, residentMb, peerKb));
        }
        return samples;
    }

    private static void printByRole(
            Fleet fleet,
            String leader,
            List<ResourceSample> before,
            List<ResourceSample> after,
            long seconds,
            long inForceMs)
            throws IOException {
        TreeMap<String, List<double[]>> byRole = new TreeMap<>();
        for (int i = 0; i < before.size(); i++) {
            String role = fleet.instanceRole(i, leader);
            ResourceSample sampleBefore = before.get(i);
            ResourceSample sampleAfter = after.get(i);
            byRole.computeIfAbsent(role, key -> new ArrayList<>())
                    .add(
                            new double[] {
                                100 * (sampleAfter.cpuS() - sampleBefore.cpuS()) / seconds,
                                sampleAfter.residentMb(),
                                (sampleAfter.peerKb() - sampleBefore.peerKb()) / seconds
                            });
        }
        byRole.forEach(
                (role, values) ->
                        System.out.printf(
                                Locale.ROOT,
                                "%9d %-8s %4.1f  %11.1f  %9.1f  %d%n",
                                before.size(),
                                role,
                                mean(values, 0),
                                mean(values, 1),
                                mean(values, 2),
                                inForceMs));
    }

    private static double mean(List<double[]> values, int column) {
        return values.stream().mapToDouble(value -> value[column]).average().orElse(Double.NaN);
    }
}
