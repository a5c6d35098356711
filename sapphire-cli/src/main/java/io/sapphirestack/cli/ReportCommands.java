package io.sapphirestack.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sapphirestack.client.ClientException;
import io.sapphirestack.client.ClientRequest;
import io.sapphirestack.core.objective.BurnCount;
import io.sapphirestack.core.objective.BurnStatus;
import io.sapphirestack.core.objective.BurnWindow;
import io.sapphirestack.core.record.ObjectivesSpec;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.TreeMap;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Commands that print reports for operators. */
final class ReportCommands {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ReportCommands() {}

    static void register(Subparsers parent) {
        Subparser report = parent.addParser("report").help("print reports for operators");
        Subparsers commands = report.addSubparsers().title("commands").metavar("COMMAND");
        Subparser burn =
                commands.addParser("burn")
                        .help("show the burn rate of the error budget of each service")
                        .setDefault("command", (CliCommand) ReportCommands::burn);
        burn.addArgument("--html").help("also write an HTML page with charts to this file");
    }

    private static ExitCode burn(CommandContext context) throws ClientException, CliException {
        JsonNode fleet = context.client().call(ClientRequest.of("GET", "/admin/v1/fleet")).json();
        TreeMap<String, BurnCount> totals = new TreeMap<>();
        List<String> unresponsiveInstances = new ArrayList<>();
        long completeSinceMs = 0;
        for (JsonNode instance : fleet.path("instances")) {
            String address = instance.path("httpAddress").asText();
            try {
                JsonNode response =
                        context.client()
                                .callAt(address, ClientRequest.of("GET", "/admin/v1/burn"))
                                .json();
                completeSinceMs = Math.max(completeSinceMs, response.path("sinceMs").asLong());
                for (JsonNode node : response.path("counts")) {
                    BurnCount count = MAPPER.convertValue(node, BurnCount.class);
                    totals.merge(count.service() + "/" + count.objective(), count, BurnCount::plus);
                }
            } catch (ClientException e) {
                unresponsiveInstances.add(instance.path("id").asText());
            }
        }
        List<BurnStatus> lines = new ArrayList<>();
        for (BurnCount count : totals.values()) {
            lines.add(BurnStatus.of(count, readTarget(context, count.service())));
        }
        printReport(context.printer(), lines, unresponsiveInstances, completeSinceMs);
        String htmlFile = context.text("html");
        if (htmlFile != null) {
            writePage(htmlFile, BurnPage.render(lines, unresponsiveInstances, completeSinceMs));
        }
        return ExitCode.OK;
    }

    private static double readTarget(CommandContext context, String service)
            throws ClientException {
        return context.client()
                .call(ClientRequest.of("GET", "/admin/v1/records/service/" + service))
                .json()
                .path("body")
                .path("objectives")
                .path("target")
                .asDouble(ObjectivesSpec.DEFAULT.target());
    }

    private static void printReport(
            ResultPrinter printer,
            List<BurnStatus> lines,
            List<String> unresponsiveInstances,
            long completeSinceMs) {
        if (printer.isJson()) {
            ObjectNode json = MAPPER.createObjectNode();
            json.set("lines", MAPPER.valueToTree(lines));
            json.set("instancesWithoutAnswer", MAPPER.valueToTree(unresponsiveInstances));
            printer.printResult(json.put("completeSinceMs", completeSinceMs));
            return;
        }
        ArrayNode rows = MAPPER.createArrayNode();
        for (BurnStatus line : lines) {
            ObjectNode row = rows.addObject().put("service", line.service());
            row.put("objective", line.objective().name().toLowerCase(Locale.ROOT));
            row.put("good", line.good()).put("bad", line.bad());
            row.put("budgetLeft", String.format(Locale.ROOT, "%.1f%%", 100 * line.budgetLeft()));
            for (BurnWindow window : BurnWindow.values()) {
                row.put(
                        burnRateColumn(window),
                        String.format(Locale.ROOT, "%.2f", line.burnRates().get(window)));
            }
            row.put("alert", line.alert().name().toLowerCase(Locale.ROOT));
            row.put("causes", line.causes().toString());
        }
        printer.printTable(
                rows,
                List.of(
                        "service",
                        "objective",
                        "good",
                        "bad",
                        "budgetLeft",
                        burnRateColumn(BurnWindow.FIVE_MINUTES),
                        burnRateColumn(BurnWindow.THIRTY_MINUTES),
                        burnRateColumn(BurnWindow.ONE_HOUR),
                        burnRateColumn(BurnWindow.SIX_HOURS),
                        "alert",
                        "causes"));
        printer.printProgress(
                "complete since "
                        + java.time.Instant.ofEpochMilli(completeSinceMs)
                        + "; counts from before the restart of "
                        + "an instance are not included; no response from "
                        + unresponsiveInstances);
    }

    private static String burnRateColumn(BurnWindow window) {
        return "burn" + window.lengthMs() / 60_000 + "min";
    }

    private static void writePage(String file, String page) throws CliException {
        try {
            java.nio.file.Files.writeString(Path.of(file), page);
        } catch (IOException e) {
            throw new CliException(
                    ExitCode.FAILED, "write-file", "cannot write the file " + file, e);
        }
    }
}
