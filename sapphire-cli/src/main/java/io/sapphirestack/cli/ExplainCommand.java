package io.sapphirestack.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/**
 * Prints the log events of all instances about one request, ordered by time. A log line may have a
 * prefix before its JSON, such as the name of the instance.
 */
final class ExplainCommand {

    private static final String STEP = "explain";
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Set<String> HEAD_FIELDS =
            Set.of("timeUtc", "level", "event", "message", "request");

    private ExplainCommand() {}

    /**
     * Log line of the request.
     *
     * @param prefix text before the JSON, empty for none
     * @param fields JSON object of the line
     */
    private record LogLine(String prefix, JsonNode fields) {}

    static void register(Subparsers parent) {
        Subparser explain =
                parent.addParser("explain")
                        .help("print the decisions about one request from log files")
                        .setDefault("command", (CliCommand) ExplainCommand::explain);
        explain.addArgument("request").help("identifier of the request");
        explain.addArgument("files").nargs("*").help("log files; standard input if none is given");
    }

    private static ExitCode explain(CommandContext context) throws CliException {
        String request = context.text("request");
        List<LogLine> lines = new ArrayList<>();
        List<String> files = context.arguments().getList("files");
        if (files.isEmpty()) {
            collectLines(
                    new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8)),
                    "standard input",
                    request,
                    lines);
        }
        for (String file : files) {
            try (BufferedReader in = Files.newBufferedReader(Path.of(file))) {
                collectLines(in, file, request, lines);
            } catch (IOException e) {
                throw new CliException(ExitCode.FAILED, STEP, file + " cannot be read", e);
            }
        }
        lines.sort(Comparator.comparing(line -> line.fields().path("timeUtc").asText()));
        if (lines.isEmpty()) {
            throw new CliException(
                    ExitCode.NOT_FOUND,
                    STEP,
                    "no log line has the request identifier " + request,
                    null);
        }
        lines.forEach(line -> context.printer().printText(formatLine(line) + "\n"));
        return ExitCode.OK;
    }

    private static void collectLines(
            BufferedReader in, String source, String request, List<LogLine> lines)
            throws CliException {
        try {
            for (String text = in.readLine(); text != null; text = in.readLine()) {
                if (text.contains(request)) {
                    parseLine(text)
                            .filter(l -> l.fields().path("request").asText().equals(request))
                            .ifPresent(lines::add);
                }
            }
        } catch (IOException e) {
            throw new CliException(ExitCode.FAILED, STEP, source + " cannot be read", e);
        }
    }

    /** Parses a line; returns empty if it has no valid JSON, as lines of other programs may not. */
    private static Optional<LogLine> parseLine(String text) {
        int start = text.indexOf('{');
        if (start < 0) {
            return Optional.empty();
        }
        try {
            JsonNode fields = MAPPER.readTree(text.substring(start));
            return Optional.of(new LogLine(text.substring(0, start).trim(), fields));
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }

    private static String formatLine(LogLine line) {
        JsonNode fields = line.fields();
        StringBuilder text = new StringBuilder(fields.path("timeUtc").asText());
        if (!line.prefix().isEmpty()) {
            text.append(" [").append(line.prefix()).append(']');
        }
        text.append(' ').append(fields.path("event").asText());
        text.append(' ').append(fields.path("message").asText());
        for (Map.Entry<String, JsonNode> field : fields.properties()) {
            if (!HEAD_FIELDS.contains(field.getKey()) && !field.getValue().asText().isEmpty()) {
                text.append(", ").append(field.getKey()).append('=');
                text.append(field.getValue().asText());
            }
        }
        return text.toString();
    }
}
