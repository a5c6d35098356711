package io.sapphirestack.daemon.relay;

import com.fasterxml.jackson.databind.JsonNode;
import io.sapphirestack.core.admission.AdmissionSettings;
import io.sapphirestack.daemon.SettingsException;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** Reads the settings object {@code admission}. */
public final class AdmissionSettingsReader {

    private static final String REFUSE_LATE = "refuse_late";
    private static final String AGE_FROM_DEADLINE = "age_from_deadline";
    private static final String MAX_REPORT_AGE_MS = "max_report_age_ms";
    private static final String STREAM_URGENCY = "stream_urgency";
    private static final Set<String> KEYS =
            Set.of(REFUSE_LATE, AGE_FROM_DEADLINE, MAX_REPORT_AGE_MS, STREAM_URGENCY);

    private AdmissionSettingsReader() {}

    /**
     * Reads the settings; each one that is absent has its default.
     *
     * @param node object with the keys {@code refuse_late}, {@code age_from_deadline}, {@code
     *     max_report_age_ms} and {@code stream_urgency}; may be missing
     * @param source name of the settings for error messages
     * @return settings
     * @throws SettingsException if a key is unknown or a value is not valid
     */
    public static AdmissionSettings read(JsonNode node, String source) throws SettingsException {
        Set<String> unknown = new TreeSet<>();
        node.fieldNames().forEachRemaining(unknown::add);
        unknown.removeAll(KEYS);
        if (!unknown.isEmpty()) {
            throw invalid(source, "unknown keys in admission: " + unknown);
        }
        AdmissionSettings defaults = AdmissionSettings.DEFAULT;
        return new AdmissionSettings(
                flag(node, REFUSE_LATE, defaults.refuseLate(), source),
                flag(node, AGE_FROM_DEADLINE, defaults.ageFromDeadline(), source),
                reportAgeMs(node, defaults.maxReportAgeMs(), source),
                flag(node, STREAM_URGENCY, defaults.streamUrgency(), source));
    }

    private static boolean flag(JsonNode node, String key, boolean defaultValue, String source)
            throws SettingsException {
        JsonNode value = node.path(key);
        if (value.isMissingNode()) {
            return defaultValue;
        }
        if (!value.isBoolean()) {
            throw invalid(source, "admission." + key + " must be true or false, not " + value);
        }
        return value.asBoolean();
    }

    private static int reportAgeMs(JsonNode node, int defaultMs, String source)
            throws SettingsException {
        JsonNode value = node.path(MAX_REPORT_AGE_MS);
        if (value.isMissingNode()) {
            return defaultMs;
        }
        int limitMs = AdmissionSettings.MAX_REPORT_AGE_LIMIT_MS;
        if (!value.isInt() || value.asInt() < 1 || value.asInt() > limitMs) {
            throw invalid(
                    source,
                    "admission.max_report_age_ms must be 1 to " + limitMs + ", not " + value);
        }
        return value.asInt();
    }

    private static SettingsException invalid(String source, String problem) {
        return new SettingsException(source, List.of(problem));
    }
}
