package io.sapphirestack.daemon;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.networknt.schema.Error;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;

/** Reads and validates the settings file. */
public final class SettingsReader {

    private static final ObjectMapper MAPPER =
            new ObjectMapper()
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION);

    private SettingsReader() {}

    /**
     * Reads a file.
     *
     * @param file settings file
     * @return validated settings
     * @throws SettingsException if the file cannot be read or is invalid
     */
    public static DaemonSettings read(Path file) throws SettingsException {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new SettingsException(
                    file.toString(), List.of("(file): cannot be read: " + e.getMessage()));
        }
        return parse(text, file.toString());
    }

    /**
     * Parses and validates settings.
     *
     * @param text JSON text
     * @param source name of the settings in error messages
     * @return validated settings
     * @throws SettingsException if the settings are invalid
     */
    public static DaemonSettings parse(String text, String source) throws SettingsException {
        JsonNode root;
        try {
            root = MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            throw new SettingsException(
                    source, List.of("(file): is not valid JSON: " + e.getOriginalMessage()));
        }
        JsonNode schema = loadSchema();
        List<String> problems = new ArrayList<>();
        Schema validator =
                SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
                        .getSchema(schema);
        for (Error error : validator.validate(root)) {
            problems.add(describe(error, schema));
        }
        if (problems.isEmpty()) {
            checkConsistency(root, problems);
        }
        if (!problems.isEmpty()) {
            throw new SettingsException(source, List.copyOf(new TreeSet<>(problems)));
        }
        return toSettings(root);
    }

    private static JsonNode loadSchema() {
        try (InputStream in = SettingsReader.class.getResourceAsStream("settings.schema.json")) {
            return MAPPER.readTree(in);
        } catch (IOException e) {
            throw new IllegalStateException(
                    "cannot read settings.schema.json from the class path", e);
        }
    }

    // The schema has a description of each key in words. The validator's own messages contain
    // regular expressions, which are of little use to an operator.
    private static String describe(Error error, JsonNode schema) {
        String pointer = error.getInstanceLocation().toString();
        String path = pointer.replaceFirst("^[$/.#]+", "").replace('/', '.');
        JsonNode schemaNode = schema;
        for (String key : path.isEmpty() ? new String[0] : path.split("\\.")) {
            schemaNode =
                    schemaNode.has("items")
                            ? schemaNode.path("items")
                            : schemaNode.path("properties").path(key);
        }
        if (error.getKeyword().equals("additionalProperties")) {
            TreeSet<String> known = new TreeSet<>();
            schemaNode.path("properties").fieldNames().forEachRemaining(known::add);
            return joinPath(path, error.getProperty()) + ": unknown key; known keys are " + known;
        }
        if (error.getKeyword().equals("required")) {
            JsonNode missing = schemaNode.path("properties").path(error.getProperty());
            return joinPath(path, error.getProperty())
                    + ": is missing; expected "
                    + expectedValue(missing);
        }
        return (path.isEmpty() ? "(file)" : path)
                + ": expected "
                + expectedValue(schemaNode)
                + " but got "
                + abbreviate(error.getInstanceNode());
    }

    private static String expectedValue(JsonNode schemaNode) {
        return schemaNode.path("description").asText("an object");
    }

    private static String abbreviate(JsonNode value) {
        String text = String.valueOf(value);
        return text.length() <= 60 ? text : text.substring(0, 60) + "...";
    }

    private static String joinPath(String path, String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    private static void checkConsistency(JsonNode root, List<String> problems) {
        checkAddress("http.listen", root.at("/http/listen").asText(), problems);
        checkAddress("peer.listen", root.at("/peer/listen").asText(), problems);
        JsonNode voters = root.at("/control/voters");
        for (int i = 0; i < voters.size(); i++) {
            checkAddress("control.voters." + i, voters.get(i).asText(), problems);
        }
        boolean isVoter = root.at("/control/voter").asBoolean(false);
        boolean isListed = false;
        for (JsonNode address : voters) {
            isListed |= address.asText().equals(root.at("/peer/listen").asText());
        }
        if (isVoter && !root.has("dataFolder")) {
            problems.add("dataFolder: is missing; a voter needs a folder for the control log");
        }
        if (!isVoter && root.has("dataFolder")) {
            problems.add("control.voter: expected true because dataFolder is set");
        }
        if (isVoter && !isListed) {
            problems.add("control.voters: expected to contain peer.listen because voter is true");
        }
        if (!isVoter && isListed) {
            problems.add("control.voter: expected true because peer.listen is among the voters");
        }
        JsonNode limits = root.path("limits");
        if (limits.path("connections").asInt(DaemonSettings.Limits.DEFAULT.connections())
                <= limits.path("streams").asInt(DaemonSettings.Limits.DEFAULT.streams())) {
            problems.add("limits.connections: expected more than limits.streams");
        }
    }

    private static void checkAddress(String path, String address, List<String> problems) {
        int colon = address.lastIndexOf(':');
        try {
            int port = Integer.parseInt(address.substring(colon + 1));
            // The schema allows only digits, dots, colons and brackets, so this does no DNS lookup.
            InetAddress host = InetAddress.getByName(address.substring(0, colon));
            if (port < 1 || port > 65_535) {
                problems.add(path + ": expected a port from 1 to 65535 but got " + port);
            } else if (host.isAnyLocalAddress()) {
                problems.add(
                        path + ": expected an address that others can reach but got " + address);
            }
        } catch (UnknownHostException | NumberFormatException e) {
            problems.add(path + ": expected an IP address and a port but got " + address);
        }
    }

    private static DaemonSettings toSettings(JsonNode root) {
        List<String> voters = new ArrayList<>();
        root.at("/control/voters").forEach(address -> voters.add(address.asText()));
        JsonNode limits = root.path("limits");
        DaemonSettings.Limits defaults = DaemonSettings.Limits.DEFAULT;
        return new DaemonSettings(
                new DaemonSettings.Instance(
                        root.at("/instance/id").asText(),
                        root.at("/instance/availabilityZone").asText(),
                        root.at("/instance/region").asText()),
                root.at("/http/listen").asText(),
                root.at("/peer/listen").asText(),
                root.at("/peer/clusterKey").asText(),
                voters,
                root.has("dataFolder")
                        ? Optional.of(Path.of(root.path("dataFolder").asText()))
                        : Optional.empty(),
                root.path("bootstrapOperatorKeyHash").asText(),
                new DaemonSettings.Limits(
                        limits.path("bodyBytes").asInt(defaults.bodyBytes()),
                        limits.path("messageBytes").asLong(defaults.messageBytes()),
                        limits.path("finishedGenerationsBytes")
                                .asLong(defaults.finishedGenerationsBytes()),
                        limits.path("connections").asInt(defaults.connections()),
                        limits.path("streams").asInt(defaults.streams()),
                        limits.path("reads").asInt(defaults.reads()),
                        limits.path("orders").asInt(defaults.orders()),
                        limits.path("attempts").asInt(defaults.attempts())));
    }
}
