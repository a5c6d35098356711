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

/** Reports for operators. */
final class ReportCommands {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ReportCommands() {}

    static void register(Subparsers parent) {
        Subparser report = parent.addParser("report").help("reports for operators");
        Subparsers commands = report.addSubparsers().title("commands").metavar("COMMAND");
        Subparser burn =
                commands.addParser("burn")
                        .help("show how fast each service spends its error budget")
                        .setDefault("command", (Command) ReportCommands::burn);
        burn.addArgument("--html").help("also write a page with plots to this file");
    }

    private static ExitCode burn(CommandContext context) throws ClientException, CliException {
        JsonNode fleet = context.client().call(ClientRequest.of("GET", "/admin/v1/fleet")).json();
        TreeMap<String, BurnCount> sums = new TreeMap<>();
        List<String> silent = new ArrayList<>();
        long sinceMs = 0;
        for (JsonNode instance : fleet.path("instances")) {
            String address = instance.path("httpAddress").asText();
            try {
                JsonNode answer =
                        context.client()
                                .callAt(address, ClientRequest.of("GET", "/admin/v1/burn"))
                                .json();
                sinceMs = Math.max(sinceMs, answer.path("sinceMs").asLong());
                for (JsonNode node : answer.path("counts")) {
                    BurnCount count = MAPPER.convertValue(node, BurnCount.class);
                    sums.merge(count.service() + "/" + count.objective(), count, BurnCount::plus);
                }
            } catch (ClientException e) {
                silent.add(instance.path("id").asText());
            }
        }
        List<BurnStatus> lines = new ArrayList<>();
        for (BurnCount count : sums.values()) {
            lines.add(BurnStatus.of(count, target(context, count.service())));
        }
        print(context.output(), lines, silent, sinceMs);
        String html = context.text("html");
        if (html != null) {
            write(html, BurnPage.render(lines, silent, sinceMs));
        }
        return ExitCode.OK;
    }

    private static double target(CommandContext context, String service) throws ClientException {
        return context.client()
                .call(ClientRequest.of("GET", "/admin/v1/records/service/" + service))
                .json()
                .path("body")
                .path("objectives")
                .path("target")
                .asDouble(ObjectivesSpec.DEFAULT.target());
    }

    private static void print(
            Output output, List<BurnStatus> lines, List<String> silent, long sinceMs) {
        if (output.isJson()) {
            ObjectNode json = MAPPER.createObjectNode();
            json.set("lines", MAPPER.valueToTree(lines));
            json.set("instancesWithoutAnswer", MAPPER.valueToTree(silent));
            output.result(json.put("completeSinceMs", sinceMs));
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
                        column(window),
                        String.format(Locale.ROOT, "%.2f", line.burnRates().get(window)));
            }
            row.put("alert", line.alert().name().toLowerCase(Locale.ROOT));
            row.put("causes", line.causes().toString());
        }
        output.table(
                rows,
                List.of(
                        "service",
                        "objective",
                        "good",
                        "bad",
                        "budgetLeft",
                        column(BurnWindow.FIVE_MINUTES),
                        column(BurnWindow.THIRTY_MINUTES),
                        column(BurnWindow.ONE_HOUR),
                        column(BurnWindow.SIX_HOURS),
                        "alert",
                        "causes"));
        output.progress(
                "complete since "
                        + java.time.Instant.ofEpochMilli(sinceMs)
                        + "; counts of earlier lives of "
                        + "restarted instances are lost; no answer from "
                        + silent);
    }

    private static String column(BurnWindow window) {
        return "burn" + window.lengthMs() / 60_000 + "min";
    }

    private static void write(String file, String page) throws CliException {
        try {
            java.nio.file.Files.writeString(Path.of(file), page);
        } catch (IOException e) {
            throw new CliException(
                    ExitCode.FAILED, "write-file", "cannot write the file " + file, e);
        }
    }
}
