package io.sapphirestack.cli;

import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.core.objective.BurnRecorder;
import io.sapphirestack.core.objective.BurnStatus;
import io.sapphirestack.core.objective.Objective;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against names of records that are inserted into the HTML without escaping, and against
 * causes and unresponsive instances that are missing from the page.
 */
class BurnPageTests {

    @Test
    void escapesNamesAndShowsCauses() {
        BurnRecorder recorder = new BurnRecorder(() -> 1_000_000_000_000L);
        recorder.record("<script>", Objective.RESUME, false, "SAP2004");

        String page =
                BurnPage.render(
                        List.of(BurnStatus.of(recorder.snapshot().get(0), 0.95)),
                        List.of("i3"),
                        1_000L);

        assertThat(page)
                .contains("&lt;script&gt;", "SAP2004: 1", "Instances that did not respond: i3");
        assertThat(page).doesNotContain("<script>");
    }
}
