package io.sapphirestack.daemon.relay;

import com.fasterxml.jackson.databind.JsonNode;
import io.sapphirestack.core.relay.ResponseLimits;
import io.sapphirestack.daemon.SettingsException;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;

/**
 * Settings of the messages that a relaying instance receives.
 *
 * @param responseLimits limits on each response of an endpoint
 * @param memoryBytes memory for the requests and responses that the instance holds at the same
 *     time, in bytes
 * @param accountFraction part of this memory that one client account may hold, above 0 and at most
 *     1
 */
public record MessageSettings(
        ResponseLimits responseLimits, long memoryBytes, double accountFraction) {

    /**
     * Part of the memory that one account may hold unless the settings set another; the rest
     * remains for other accounts when callers of this one do not read their responses.
     */
    public static final double DEFAULT_ACCOUNT_FRACTION = 0.5;

    /** Fraction of the heap that requests and responses may use unless the settings set another. */
    static final double DEFAULT_HEAP_FRACTION = 0.25;

    private static final Set<String> KEYS =
            Set.of(
                    "line_bytes",
                    "head_bytes",
                    "interim_heads",
                    "body_bytes",
                    "event_bytes",
                    "heap_fraction",
                    "account_fraction");

    /** Requires limits. */
    public MessageSettings {
        Objects.requireNonNull(responseLimits, "responseLimits");
    }

    /**
     * Reads the settings; each one that is absent has its default.
     *
     * @param node object with the keys {@code line_bytes}, {@code head_bytes}, {@code
     *     interim_heads}, {@code body_bytes}, {@code event_bytes}, {@code heap_fraction} and {@code
     *     account_fraction}; may be missing
     * @param heapBytes maximum size of the heap, in bytes
     * @param source name of the settings for error messages
     * @return settings
     * @throws SettingsException if a key is unknown or a value is not valid
     */
    public static MessageSettings read(JsonNode node, long heapBytes, String source)
            throws SettingsException {
        Set<String> unknown = new TreeSet<>();
        node.fieldNames().forEachRemaining(unknown::add);
        unknown.removeAll(KEYS);
        if (!unknown.isEmpty()) {
            throw invalid(source, "unknown keys in messages: " + unknown);
        }
        ResponseLimits defaults = ResponseLimits.DEFAULT;
        ResponseLimits limits =
                new ResponseLimits(
                        positive(node, "line_bytes", defaults.lineBytes(), source),
                        positive(node, "head_bytes", defaults.headBytes(), source),
                        positive(node, "interim_heads", defaults.interimHeads(), source),
                        positive(node, "body_bytes", defaults.bodyBytes(), source),
                        positive(node, "event_bytes", defaults.eventBytes(), source));
        double heapFraction = fraction(node, "heap_fraction", DEFAULT_HEAP_FRACTION, source);
        return new MessageSettings(
                limits,
                (long) (heapFraction * heapBytes),
                fraction(node, "account_fraction", DEFAULT_ACCOUNT_FRACTION, source));
    }

    private static int positive(JsonNode node, String key, int defaultValue, String source)
            throws SettingsException {
        JsonNode value = node.path(key);
        if (value.isMissingNode()) {
            return defaultValue;
        }
        if (!value.isInt() || value.asInt() <= 0) {
            throw invalid(source, "messages." + key + " must be a positive integer, not " + value);
        }
        return value.asInt();
    }

    private static SettingsException invalid(String source, String problem) {
        return new SettingsException(source, List.of(problem));
    }

    private static double fraction(JsonNode node, String key, double defaultValue, String source)
            throws SettingsException {
        JsonNode value = node.path(key);
        if (value.isMissingNode()) {
            return defaultValue;
        }
        if (!value.isNumber() || value.asDouble() <= 0 || value.asDouble() > 1) {
            throw invalid(
                    source, "messages." + key + " must be above 0 and at most 1, not " + value);
        }
        return value.asDouble();
    }
}
