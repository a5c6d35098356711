package io.sapphirestack.daemon.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.sapphirestack.core.relay.ResponseLimits;
import io.sapphirestack.daemon.SettingsException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against settings that are misspelled or invalid and are silently ignored. */
class MessageSettingsTests {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private static MessageSettings read(String json) throws Exception {
        return MessageSettings.read(MAPPER.readTree(json), 1_000, "settings.json");
    }

    @Test
    void absentSettingsHaveTheirDefaults() throws Exception {
        MessageSettings settings =
                MessageSettings.read(
                        MAPPER.readTree("{}").path("messages"), 1_000, "settings.json");
        assertThat(settings).isEqualTo(new MessageSettings(ResponseLimits.DEFAULT, 250, 0.5));
    }

    @Test
    void eachSettingIsRead() throws Exception {
        MessageSettings settings =
                read(
                        "{\"line_bytes\":1,\"head_bytes\":2,\"interim_heads\":3,\"body_bytes\":4,"
                                + "\"event_bytes\":5,\"heap_fraction\":0.5,\"account_fraction\":0.25}");
        assertThat(settings)
                .isEqualTo(new MessageSettings(new ResponseLimits(1, 2, 3, 4, 5), 500, 0.25));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{\"line_byte\":1} | line_byte",
                "{\"body_bytes\":0} | body_bytes",
                "{\"body_bytes\":\"4\"} | body_bytes",
                "{\"event_bytes\":1.5} | event_bytes",
                "{\"heap_fraction\":0} | heap_fraction",
                "{\"heap_fraction\":1.1} | heap_fraction",
                "{\"account_fraction\":0} | account_fraction",
                "{\"account_fraction\":1.1} | account_fraction"
            })
    void invalidSettingIsNamed(String json, String key) {
        assertThatThrownBy(() -> read(json))
                .isInstanceOf(SettingsException.class)
                .hasMessageContaining(key);
    }
}
