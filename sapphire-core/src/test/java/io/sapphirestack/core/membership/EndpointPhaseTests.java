package io.sapphirestack.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.core.id.EndpointId;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against delayed reports that return a draining or ended endpoint to service: instances
 * pass reports on over different paths, so an older report may arrive after a newer one.
 */
class EndpointPhaseTests {

    private static final EndpointId ID = EndpointId.of("e1");

    private final ReportTable table = new ReportTable();

    private static EndpointReport report(long epochMs, long sequence, EndpointPhase phase) {
        EndpointDetails details = new EndpointDetails("s", "10.0.0.1:1", "z1", List.of(), 4, phase);
        return new EndpointReport(
                ID,
                epochMs,
                sequence,
                sequence,
                0,
                EndpointLoad.NONE,
                Optional.of(details),
                List.of());
    }

    private EndpointPhase phase() {
        return table.find(ID).orElseThrow().details().phase();
    }

    @ParameterizedTest
    @CsvSource({
        "5, SERVING, 6, DRAINING, DRAINING",
        "6, DRAINING, 5, SERVING, DRAINING",
        "5, GONE, 6, SERVING, GONE",
        "6, SERVING, 5, DRAINING, DRAINING",
        "5, SERVING, 5, GONE, GONE"
    })
    void phaseNeverGoesBackWhateverTheOrderOfReports(
            long firstSequence,
            EndpointPhase first,
            long secondSequence,
            EndpointPhase second,
            EndpointPhase expected) {
        table.merge(report(1, firstSequence, first), 0);
        table.merge(report(1, secondSequence, second), 0);
        assertThat(phase()).isEqualTo(expected);
    }

    @Test
    void restartedProcessStartsInServingPhase() {
        table.merge(report(1, 9, EndpointPhase.GONE), 0);
        table.merge(report(2, 1, EndpointPhase.SERVING), 0);
        assertThat(phase()).isEqualTo(EndpointPhase.SERVING);
        table.merge(report(1, 10, EndpointPhase.GONE), 0);
        assertThat(phase()).isEqualTo(EndpointPhase.SERVING);
    }

    @Test
    void laterPhaseChangesTheDigestAndIsKeptByTheCodec() {
        table.merge(report(1, 5, EndpointPhase.SERVING), 0);
        long before = table.digest();
        EndpointReport draining = report(1, 5, EndpointPhase.DRAINING);
        byte[] encoded = ReportCodec.encode(List.of(draining));
        ReportCodec.decode(encoded, handle -> null).reports().forEach(r -> table.merge(r, 0));
        assertThat(phase()).isEqualTo(EndpointPhase.DRAINING);
        assertThat(table.digest()).isNotEqualTo(before);
    }
}
