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

/** Reads and checks the settings file. */
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
     * @return checked settings
     * @throws SettingsException if the file cannot be read or is wrong
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
     * Checks settings.
     *
     * @param text JSON text
     * @param source name to show in errors
     * @return checked settings
     * @throws SettingsException if the settings are wrong
     */
    public static DaemonSettings parse(String text, String source) throws SettingsException {
        JsonNode root;
        try {
            root = MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            throw new SettingsException(
                    source, List.of("(file): is not valid JSON: " + e.getOriginalMessage()));
        }
        JsonNode schema = schema();
        List<String> problems = new ArrayList<>();
        Schema validator =
                SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
                        .getSchema(schema);
        for (Error error : validator.validate(root)) {
            problems.add(describe(error, schema));
        }
        if (problems.isEmpty()) {
            checkMeaning(root, problems);
        }
        if (!problems.isEmpty()) {
            throw new SettingsException(source, List.copyOf(new TreeSet<>(problems)));
        }
        return build(root);
    }

    private static JsonNode schema() {
        try (InputStream in = SettingsReader.class.getResourceAsStream("settings.schema.json")) {
            return MAPPER.readTree(in);
        } catch (IOException e) {
            throw new IllegalStateException("the schema is part of the program", e);
        }
    }

    // The schema describes in words what each key expects; the validator's own messages show
    // patterns, which say little to an operator.
    private static String describe(Error error, JsonNode schema) {
        String pointer = error.getInstanceLocation().toString();
        String path = pointer.replaceFirst("^[$/.#]+", "").replace('/', '.');
        JsonNode place = schema;
        for (String key : path.isEmpty() ? new String[0] : path.split("\\.")) {
            place = place.has("items") ? place.path("items") : place.path("properties").path(key);
        }
        if (error.getKeyword().equals("additionalProperties")) {
            TreeSet<String> known = new TreeSet<>();
            place.path("properties").fieldNames().forEachRemaining(known::add);
            return join(path, error.getProperty()) + ": unknown key; known are " + known;
        }
        if (error.getKeyword().equals("required")) {
            JsonNode missing = place.path("properties").path(error.getProperty());
            return join(path, error.getProperty()) + ": is missing; expected " + expected(missing);
        }
        return (path.isEmpty() ? "(file)" : path)
                + ": expected "
                + expected(place)
                + " but got "
                + shorten(error.getInstanceNode());
    }

    private static String expected(JsonNode place) {
        return place.path("description").asText("an object");
    }

    private static String shorten(JsonNode value) {
        String text = String.valueOf(value);
        return text.length() <= 60 ? text : text.substring(0, 60) + "...";
    }

    private static String join(String path, String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    private static void checkMeaning(JsonNode root, List<String> problems) {
        checkAddress("http.listen", root.at("/http/listen").asText(), problems);
        checkAddress("peer.listen", root.at("/peer/listen").asText(), problems);
        JsonNode voters = root.at("/control/voters");
        for (int i = 0; i < voters.size(); i++) {
            checkAddress("control.voters." + i, voters.get(i).asText(), problems);
        }
        boolean voter = root.at("/control/voter").asBoolean(false);
        boolean listed = false;
        for (JsonNode address : voters) {
            listed |= address.asText().equals(root.at("/peer/listen").asText());
        }
        if (voter && !root.has("dataFolder")) {
            problems.add("dataFolder: is missing; a voter needs a folder for the control log");
        }
        if (!voter && root.has("dataFolder")) {
            problems.add("control.voter: expected true because dataFolder is set");
        }
        if (voter && !listed) {
            problems.add("control.voters: expected to contain peer.listen because voter is true");
        }
        if (!voter && listed) {
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
            // The schema admits only digits, dots, colons and brackets, so nothing is looked up.
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

    private static DaemonSettings build(JsonNode root) {
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
                        limits.path("finishedGenerationsBytes")
                                .asLong(defaults.finishedGenerationsBytes()),
                        limits.path("connections").asInt(defaults.connections()),
                        limits.path("streams").asInt(defaults.streams()),
                        limits.path("reads").asInt(defaults.reads()),
                        limits.path("orders").asInt(defaults.orders()),
                        limits.path("attempts").asInt(defaults.attempts())));
    }
}
