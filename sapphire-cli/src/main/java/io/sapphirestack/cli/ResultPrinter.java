package io.sapphirestack.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** Prints results to standard output, as JSON or as text, and progress to standard error. */
public final class ResultPrinter {

    private static final ObjectMapper MAPPER =
            new ObjectMapper().enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS);

    private final PrintStream out;
    private final PrintStream err;
    private final boolean json;

    /**
     * Creates a printer.
     *
     * @param out standard output
     * @param err standard error
     * @param json whether results are printed as JSON
     */
    public ResultPrinter(PrintStream out, PrintStream err, boolean json) {
        this.out = out;
        this.err = err;
        this.json = json;
    }

    /** Returns whether results are printed as JSON. */
    public boolean isJson() {
        return json;
    }

    /**
     * Prints a result: as one JSON line, or as {@code field: value} lines.
     *
     * @param result JSON value; a value that is not an object is always printed as JSON
     */
    public void printResult(JsonNode result) {
        if (json || !result.isObject()) {
            out.println(toJsonText(result));
            return;
        }
        result.properties()
                .forEach(
                        field ->
                                out.println(
                                        field.getKey()
                                                + ": "
                                                + (field.getValue().isTextual()
                                                        ? field.getValue().asText()
                                                        : toJsonText(field.getValue()))));
    }

    /**
     * Prints a list of objects: as one JSON line, or as a table.
     *
     * @param rows JSON array of objects
     * @param columns fields to show in the table; the JSON line has all fields
     */
    public void printTable(JsonNode rows, List<String> columns) {
        if (json) {
            out.println(toJsonText(rows));
            return;
        }
        List<List<String>> cells = new ArrayList<>();
        cells.add(
                columns.stream().map(column -> column.toUpperCase(java.util.Locale.ROOT)).toList());
        for (JsonNode row : rows) {
            cells.add(columns.stream().map(column -> cellText(row.path(column))).toList());
        }
        for (List<String> line : cells) {
            StringBuilder text = new StringBuilder();
            for (int i = 0; i < columns.size(); i++) {
                text.append(pad(line.get(i), columnWidth(cells, i) + 2));
            }
            out.println(text.toString().stripTrailing());
        }
    }

    /**
     * Prints text of a result as it is, without a line break, and flushes it.
     *
     * @param text part of the result
     */
    public void printText(String text) {
        out.print(text);
        out.flush();
    }

    /**
     * Prints a progress message to standard error.
     *
     * @param message one line
     */
    public void printProgress(String message) {
        err.println(message);
    }

    private static int columnWidth(List<List<String>> cells, int column) {
        return cells.stream().mapToInt(line -> line.get(column).length()).max().orElse(0);
    }

    private static String pad(String text, int width) {
        return text + " ".repeat(Math.max(0, width - text.length()));
    }

    private static String cellText(JsonNode node) {
        return node.isTextual() ? node.asText() : node.isMissingNode() ? "-" : toJsonText(node);
    }

    private static String toJsonText(JsonNode node) {
        try {
            return MAPPER.writeValueAsString(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write a JSON tree as text", e);
        }
    }
}
