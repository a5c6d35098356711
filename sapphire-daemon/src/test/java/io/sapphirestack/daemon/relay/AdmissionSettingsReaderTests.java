package io.sapphirestack.daemon.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.sapphirestack.core.admission.AdmissionSettings;
import io.sapphirestack.daemon.SettingsException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against settings that are misspelled or invalid and are silently ignored. */
class AdmissionSettingsReaderTests {

    private static AdmissionSettings read(String json) throws Exception {
        return AdmissionSettingsReader.read(
                new ObjectMapper().readTree(json).path("admission"), "settings.json");
    }

    @Test
    void absentSettingsHaveTheirDefaultsAndEachOneIsRead() throws Exception {
        assertThat(read("{}")).isEqualTo(AdmissionSettings.DEFAULT);
        assertThat(
                        read(
                                "{\"admission\":{\"refuse_late\":false,\"age_from_deadline\":false,"
                                        + "\"max_report_age_ms\":300,\"stream_urgency\":true}}"))
                .isEqualTo(new AdmissionSettings(false, false, 300, true));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{\"refuse\":true} | refuse",
                "{\"refuse_late\":1} | refuse_late",
                "{\"age_from_deadline\":\"no\"} | age_from_deadline",
                "{\"max_report_age_ms\":0} | max_report_age_ms",
                "{\"max_report_age_ms\":1001} | max_report_age_ms",
                "{\"stream_urgency\":1} | stream_urgency"
            })
    void invalidSettingIsNamed(String json, String key) {
        assertThatThrownBy(() -> read("{\"admission\":" + json + "}"))
                .isInstanceOf(SettingsException.class)
                .hasMessageContaining(key);
    }
}
