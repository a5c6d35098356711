package io.sapphirestack.core.record;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests the defaults of missing fields, the handling of records with newer schemas, and that error
 * messages contain the name of the invalid field.
 */
class RecordSpecResolverTests {

    private static final String HASH = "sha256$00$" + "ab".repeat(32);
    private static final RecordKey SERVICE = new RecordKey("service", "scribe");

    private final RecordSpecResolver resolver = new RecordSpecResolver();

    @Test
    void missingFieldsGetTheDocumentedDefaults() throws Exception {
        ServiceSpec spec = resolver.service(record(SERVICE, 1, 1, 1, service(""))).orElseThrow();

        assertThat(spec.type()).isEqualTo(ServiceType.ENGINE);
        assertThat(spec.fencingChecked()).isTrue();
        assertThat(spec.orderLookUpSupported()).isFalse();
        assertThat(spec.staleReadLimitMs()).isZero();
        assertThat(spec.readTimeoutMs()).isEqualTo(1_000);
        assertThat(spec.orderTimeoutMs()).isEqualTo(5_000);
        assertThat(spec.resume()).isEqualTo(ResumeSpec.DEFAULT);
        assertThat(spec.objectives()).isEqualTo(ObjectivesSpec.DEFAULT);
    }

    @Test
    void recordWithANewerSchemaIsReadIfItsMinimumReaderPermits() throws Exception {
        ConfigRecord newer =
                record(SERVICE, 2, 1, 1, service(",\"readTimeoutMs\":7,\"future\":{\"x\":1}"));

        assertThat(resolver.service(newer).orElseThrow().readTimeoutMs()).isEqualTo(7);
        assertThat(resolver.unreadable(List.of(newer))).isEmpty();
    }

    @Test
    void lastReadableSpecStaysInUseWhileTheRecordIsUnreadable() throws Exception {
        ConfigRecord first = record(SERVICE, 1, 1, 1, service(",\"readTimeoutMs\":7"));
        ConfigRecord second = record(SERVICE, 2, 2, 2, service(",\"readTimeoutMs\":8"));
        resolver.service(first);

        assertThat(resolver.service(second).orElseThrow().readTimeoutMs()).isEqualTo(7);
        assertThat(resolver.unreadable(List.of(second))).containsExactly(SERVICE);
        assertThat(new RecordSpecResolver(2).service(second).orElseThrow().readTimeoutMs())
                .isEqualTo(8);
    }

    @Test
    void recordThatWasNeverReadableHasNoSpec() throws Exception {
        assertThat(resolver.service(record(SERVICE, 2, 2, 1, service("")))).isEmpty();
    }

    @Test
    void readingAnOlderRevisionDoesNotReplaceTheNewerSpec() throws Exception {
        ConfigRecord older = record(SERVICE, 1, 1, 1, service(",\"readTimeoutMs\":7"));
        ConfigRecord newer = record(SERVICE, 1, 1, 2, service(",\"readTimeoutMs\":8"));
        ConfigRecord unreadable = record(SERVICE, 2, 2, 3, service(""));
        resolver.service(newer);
        resolver.service(older);

        assertThat(resolver.service(unreadable).orElseThrow().readTimeoutMs()).isEqualTo(8);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "service/s|{\"type\":\"X\",\"endpointKeyHash\":\"%h\"}|type must",
                "service/s|{\"type\":\"ENGINE\"}|endpointKeyHash is required",
                "service/s|{\"type\":\"ENGINE\",\"endpointKeyHash\":\"x\"}|endpointKeyHash must",
                "service/s|{\"type\":\"ENGINE\",\"endpointKeyHash\":\"%h\",\"resume\":{\"silenceMs\":9}}|resume.silenceMs must",
                "service/s|{\"type\":\"ENGINE\",\"endpointKeyHash\":\"%h\",\"objectives\":{\"target\":1}}|objectives.target must",
                "account/a|{\"keyHash\":\"%h\",\"priority\":10}|priority must",
                "account/a|{\"keyHash\":\"%h\",\"weight\":0}|weight must",
                "model/m|{\"service\":\"s\"}|pin is required",
                "model/m|{\"service\":\"s\",\"pin\":{\"model\":\"b\"}}|pin.version is required",
                "stop/i1|{}|name must",
                "stop/instance:i1|{\"maxWaitMs\":-1}|maxWaitMs must",
                "operator/o|{\"keyHash\":\"%h\",\"admin\":1}|admin must",
                "weight-store/w|{\"bytesPerS\":1}|maxConcurrentLoads is required",
                "other/w|{}|kind is unknown",
                "account/a|[]|body must",
            })
    void errorMessageStartsWithTheInvalidField(String key, String body, String expected)
            throws Exception {
        JsonNode tree = new ObjectMapper().readTree(body.replace("%h", HASH));

        assertThat(resolver.validate(RecordKey.parse(key), 1, 1, tree).orElseThrow())
                .startsWith(expected);
    }

    @Test
    void bodyOfARecordForANewerReaderIsNotValidated() throws Exception {
        JsonNode body = new ObjectMapper().readTree("{\"type\":\"FUTURE\"}");

        assertThat(resolver.validate(SERVICE, 2, 2, body)).isEmpty();
        assertThat(resolver.validate(SERVICE, 2, 1, body)).isPresent();
        assertThat(resolver.validate(SERVICE, 1, 2, body)).isPresent();
    }

    private static ConfigRecord record(
            RecordKey key, int schemaVersion, int minimumReader, long revision, String body)
            throws Exception {
        JsonNode tree = new ObjectMapper().readTree(body);
        return new ConfigRecord(key, schemaVersion, minimumReader, revision, "c", "op", tree);
    }

    private static String service(String furtherFields) {
        return "{\"type\":\"ENGINE\",\"endpointKeyHash\":\"" + HASH + "\"" + furtherFields + "}";
    }
}
