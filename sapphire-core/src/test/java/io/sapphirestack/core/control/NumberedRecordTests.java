package io.sapphirestack.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.TextNode;
import io.sapphirestack.core.record.ConfigRecord;
import io.sapphirestack.core.record.RecordKey;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a numbered record that returns to a lower version number, or whose content changes
 * under the same number.
 */
class NumberedRecordTests {

    private static final RecordKey KEY = new RecordKey("traffic-plan", "current");

    private final ControlState state = new ControlState();
    private long index;

    private ControlResult apply(ControlCommand command) {
        index++;
        return state.apply(index, index, new ValidatedCommand(command, Optional.empty()));
    }

    private ControlResult put(long number, String content) {
        return apply(new ControlCommand.PutNewest("op", KEY, number, TextNode.valueOf(content)));
    }

    private String content() {
        ControlResult.RecordHistory read =
                (ControlResult.RecordHistory) apply(new ControlCommand.ReadRecord(KEY));
        return read.versions().isEmpty()
                ? ""
                : read.versions().get(0).body().path(ControlState.CONTENT_FIELD).asText();
    }

    @ParameterizedTest
    @CsvSource({"7, 9, second", "9, 7, first", "7, 7, first"})
    void highestNumberIsKeptWithTheFirstContentUnderIt(
            long firstNumber, long secondNumber, String expectedContent) {
        ControlResult firstResult = put(firstNumber, "first");
        assertThat(put(secondNumber, "second")).isInstanceOf(ControlResult.RecordAccepted.class);
        assertThat(content()).isEqualTo(expectedContent);
        assertThat(put(firstNumber, "first")).isInstanceOf(ControlResult.RecordAccepted.class);
        assertThat(content()).isEqualTo(expectedContent);
        assertThat(firstResult).isInstanceOf(ControlResult.RecordAccepted.class);
    }

    @Test
    void unchangedContentIsNotDisseminatedAgain() {
        put(7, "first");
        long revision = state.view().revision();
        put(7, "first");
        put(3, "older");
        assertThat(state.view().revision()).isEqualTo(revision);
        assertThat(state.view().findRecord(KEY).map(ConfigRecord::revision)).contains(revision);
    }

    @Test
    void snapshotKeepsTheRecordWithItsNumber() {
        put(7, "first");
        ControlState restored = new ControlState();
        restored.restore(state.snapshot("c"), "c");
        index = restored.index() + 1;
        restored.apply(
                index,
                index,
                new ValidatedCommand(
                        new ControlCommand.PutNewest("op", KEY, 6, TextNode.valueOf("older")),
                        Optional.empty()));
        assertThat(restored.view().findRecord(KEY).orElseThrow().body().path("number").asLong())
                .isEqualTo(7);
    }
}
