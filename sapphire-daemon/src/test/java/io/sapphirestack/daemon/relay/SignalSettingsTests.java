package io.sapphirestack.daemon.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.sapphirestack.core.relay.EndpointSignalTable;
import io.sapphirestack.daemon.SettingsException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against settings of signals that are ignored without a message. */
class SignalSettingsTests {

    private static EndpointSignalTable.Settings read(String json) throws Exception {
        return SignalSettings.read(new ObjectMapper().readTree(json).path("signals"), "test");
    }

    @Test
    void absentSettingHasItsDefault() throws Exception {
        assertThat(read("{}")).isEqualTo(EndpointSignalTable.Settings.DEFAULT);
    }

    @Test
    void limitIsRead() throws Exception {
        assertThat(read("{\"signals\":{\"max_backoff_ms\":0}}").maxBackoffMs()).isZero();
    }

    @ParameterizedTest
    @ValueSource(strings = {"{\"max_backoff_ms\":-1}", "{\"max_backoff_ms\":\"1\"}", "{\"x\":1}"})
    void invalidSettingsAreRejected(String signals) {
        assertThatThrownBy(() -> read("{\"signals\":" + signals + "}"))
                .isInstanceOf(SettingsException.class);
    }
}
