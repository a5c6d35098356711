package io.sapphirestack.daemon.relay;

import com.fasterxml.jackson.databind.JsonNode;
import io.sapphirestack.core.relay.EndpointSignalTable;
import io.sapphirestack.daemon.SettingsException;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** Reads the limits on what endpoints may ask for in their responses. */
public final class SignalSettings {

    private static final String MAX_BACKOFF_MS = "max_backoff_ms";

    private SignalSettings() {}

    /**
     * Reads the settings; each one that is absent has its default.
     *
     * @param node object with the key {@code max_backoff_ms}; may be missing
     * @param source name of the settings for error messages
     * @return settings
     * @throws SettingsException if a key is unknown or a value is not valid
     */
    public static EndpointSignalTable.Settings read(JsonNode node, String source)
            throws SettingsException {
        Set<String> unknown = new TreeSet<>();
        node.fieldNames().forEachRemaining(unknown::add);
        unknown.remove(MAX_BACKOFF_MS);
        if (!unknown.isEmpty()) {
            throw invalid(source, "unknown keys in signals: " + unknown);
        }
        JsonNode value = node.path(MAX_BACKOFF_MS);
        if (value.isMissingNode()) {
            return EndpointSignalTable.Settings.DEFAULT;
        }
        if (!value.isInt() || value.asInt() < 0) {
            throw invalid(
                    source,
                    "signals.max_backoff_ms must be an integer of at least 0, not " + value);
        }
        return new EndpointSignalTable.Settings(value.asInt());
    }

    private static SettingsException invalid(String source, String problem) {
        return new SettingsException(source, List.of(problem));
    }
}
