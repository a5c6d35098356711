package io.sapphirestack.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.record.ModelPin;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a version of an endpoint that is lost between instances, also where an instance of
 * an earlier build, which knows models only, passes the report on.
 */
class EndpointVersionTests {

    private static EndpointReport report(List<ModelPin> models, String version) {
        EndpointDetails details =
                new EndpointDetails(
                        "s", "10.0.0.1:1", "z1", models, 4, EndpointPhase.SERVING, version);
        return new EndpointReport(
                EndpointId.of("e1"),
                1,
                2,
                2,
                0,
                new EndpointLoad(0, 0, 4, 0),
                Optional.of(details),
                List.of());
    }

    @ParameterizedTest
    @CsvSource({"0, v2", "2, v2", "0, ''", "2, ''"})
    void versionIsReadFromTheReportAndFromTheModelsOfAnEarlierBuild(int models, String version) {
        List<ModelPin> pins = new ArrayList<>();
        for (int i = 0; i < models; i++) {
            pins.add(new ModelPin("m" + i, "", "1"));
        }
        EndpointReport original = report(pins, version);
        byte[] encoded = ReportCodec.encode(List.of(original));

        assertThat(ReportCodec.decode(encoded, handle -> null).reports()).containsExactly(original);

        if (!version.isEmpty()) {
            pins.add(new ModelPin("", "", version));
        }
        byte[] passedOn = ReportCodec.encode(List.of(report(pins, "")));
        assertThat(passedOn).isEqualTo(encoded);
    }
}
