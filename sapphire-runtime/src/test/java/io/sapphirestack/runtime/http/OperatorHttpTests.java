package io.sapphirestack.runtime.http;

import static io.sapphirestack.runtime.http.HttpTestServer.BOOTSTRAP_KEY;
import static io.sapphirestack.runtime.http.HttpTestServer.PEER;
import static io.sapphirestack.runtime.http.HttpTestServer.READER_KEY;
import static io.sapphirestack.runtime.http.HttpTestServer.SELF;
import static io.sapphirestack.runtime.http.HttpTestServer.append;
import static io.sapphirestack.runtime.http.HttpTestServer.body;
import static io.sapphirestack.runtime.http.HttpTestServer.defaultRecords;
import static io.sapphirestack.runtime.http.HttpTestServer.json;
import static io.sapphirestack.runtime.http.HttpTestServer.record;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.sapphirestack.core.blackboard.Readiness;
import io.sapphirestack.core.control.ControlCommand;
import io.sapphirestack.core.control.ControlResult;
import io.sapphirestack.core.control.FleetStatus;
import io.sapphirestack.core.control.InstanceStatus;
import io.sapphirestack.core.control.MembershipEvent;
import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.runtime.control.ControlException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Tests of the operator API. Guards against record changes without an expected revision, against an
 * unconfirmed change that is reported as not made, and against a revision that is reported in force
 * while an instance may still act on an older one.
 */
@Timeout(180)
class OperatorHttpTests {

    private static final String PATH = "/admin/v1/records/model/m1";
    private static final String RECORD_BODY =
            "{\"schemaVersion\":1,\"minimumReader\":1,\"body\":{\"service\":\"s\",\"later\":7}}";

    private HttpTestServer server;

    @BeforeEach
    void start() throws Exception {
        server = new HttpTestServer();
    }

    @AfterEach
    void close() {
        server.close();
    }

    @Test
    void recordIsCreatedReplacedAndDeletedWithExpectedRevision() throws Exception {
        HttpResponse<String> created =
                server.send(put(PATH).header("If-None-Match", "*").PUT(body(RECORD_BODY)));
        assertThat(json(created).path("revision").asLong()).isEqualTo(11);
        server.send(put(PATH).header("If-Match", "\"11\"").PUT(body(RECORD_BODY)));
        server.send(put(PATH + "?dryRun=true").header("If-Match", "\"12\"").DELETE());

        ControlCommand.PutRecord create = (ControlCommand.PutRecord) server.commands.get(0);
        assertThat(create.expectedRevision()).isZero();
        assertThat(create.changeId()).isEqualTo("change-1");
        assertThat(create.operator()).isEqualTo("bootstrap");
        assertThat(create.body().path("later").asInt()).isEqualTo(7);
        assertThat(((ControlCommand.PutRecord) server.commands.get(1)).expectedRevision())
                .isEqualTo(11);
        ControlCommand.DeleteRecord delete = (ControlCommand.DeleteRecord) server.commands.get(2);
        assertThat(delete.dryRun()).isTrue();
        assertThat(delete.expectedRevision()).isEqualTo(12);
    }

    @Test
    void changeWithoutConditionOrChangeIdIsRefused() throws Exception {
        assertCode(server.send(put(PATH).PUT(body(RECORD_BODY))), 400, "bad_request");
        assertCode(
                server.send(
                        put(PATH)
                                .header("If-Match", "\"1\"")
                                .header("If-None-Match", "*")
                                .PUT(body(RECORD_BODY))),
                400,
                "bad_request");
        assertCode(
                server.send(put(PATH).header("If-Match", "1").PUT(body(RECORD_BODY))),
                400,
                "bad_request");
        assertCode(
                server.send(
                        server.request(PATH, BOOTSTRAP_KEY)
                                .header("If-None-Match", "*")
                                .PUT(body(RECORD_BODY))),
                400,
                "bad_request");
        assertCode(
                server.send(
                        put(PATH)
                                .header("If-None-Match", "*")
                                .PUT(body("{\"schemaVersion\":1,\"minimumReader\":1}"))),
                422,
                "invalid_record");
        assertThat(server.commands).isEmpty();
    }

    @Test
    void conflictReportsTheWinningChangeAndItsOperator() throws Exception {
        server.control = command -> new ControlResult.RecordConflict(9, "winner-change", "ann");
        HttpResponse<String> response =
                server.send(put(PATH).header("If-Match", "\"3\"").PUT(body(RECORD_BODY)));
        assertCode(response, 412, "revision_conflict");
        assertThat(json(response).path("currentRevision").asLong()).isEqualTo(9);
        assertThat(json(response).path("winnerChangeId").asText()).isEqualTo("winner-change");
        assertThat(json(response).path("winnerOperator").asText()).isEqualTo("ann");
    }

    @Test
    void unconfirmedChangeIsReportedApartFromChangeThatWasNotExecuted() throws Exception {
        server.control = command -> failure(true);
        HttpResponse<String> unknown =
                server.send(put(PATH).header("If-Match", "\"3\"").PUT(body(RECORD_BODY)));
        assertCode(unknown, 503, "change_unconfirmed");
        assertThat(json(unknown).path("ran").asText()).isEqualTo("unknown");
        server.control = command -> failure(false);
        HttpResponse<String> notExecuted =
                server.send(put(PATH).header("If-Match", "\"3\"").PUT(body(RECORD_BODY)));
        assertCode(notExecuted, 503, "control_unavailable");
        assertThat(json(notExecuted).path("ran").asText()).isEqualTo("no");
    }

    private static ControlResult failure(boolean maybeApplied) {
        throw new IllegalStateException(
                new ControlException("submit", "10.0.0.9:1", "no response", maybeApplied, null));
    }

    @Test
    void refusedRecordKeepsItsCode() throws Exception {
        server.control =
                command -> new ControlResult.RecordRefused("unreadable_by_instances", "i2");
        assertCode(
                server.send(put(PATH).header("If-None-Match", "*").PUT(body(RECORD_BODY))),
                422,
                "unreadable_by_instances");
        server.control = command -> new ControlResult.RecordRefused("already_leaving", "gone");
        assertCode(
                server.send(put(PATH).header("If-None-Match", "*").PUT(body(RECORD_BODY))),
                409,
                "already_leaving");
    }

    @Test
    void readOnlyOperatorCannotChangeRecords() throws Exception {
        HttpResponse<String> response =
                server.send(
                        server.request(PATH, READER_KEY)
                                .header("Sapphire-Change-Id", "c")
                                .header("If-None-Match", "*")
                                .PUT(body(RECORD_BODY)));
        assertCode(response, 403, "forbidden");
        assertThat(server.commands).isEmpty();
        HttpResponse<String> read = server.get("/admin/v1/records/account/acme", READER_KEY);
        assertThat(read.statusCode()).isEqualTo(200);
        assertThat(read.headers().firstValue("ETag")).hasValue("\"3\"");
    }

    @Test
    void listIsFilteredByKindAndHistoryIsNewestFirst() throws Exception {
        JsonNode list = json(server.get("/admin/v1/records?kind=account", READER_KEY));
        assertThat(list.path("revision").asLong()).isEqualTo(10);
        assertThat(list.at("/records")).hasSize(2);
        assertThat(list.at("/records/0/key").asText()).isEqualTo("account/acme");
        server.control =
                command ->
                        new ControlResult.RecordHistory(
                                List.of(
                                        record("model", "m1", 9, "null"),
                                        record("model", "m1", 4, "{}")));
        JsonNode history = json(server.get(PATH + "/history", READER_KEY));
        assertThat(history.at("/versions/0/revision").asLong()).isEqualTo(9);
        assertThat(history.at("/versions")).hasSize(2);
    }

    @Test
    void addressesExcludeStoppingInstances() throws Exception {
        assertThat(addresses()).isEqualTo("i1,i2");
        server.publish(
                12,
                List.of(SELF, PEER),
                List.of(),
                append(defaultRecords(), record("stop", "instance:i2", 12, "{}")));
        assertThat(addresses()).isEqualTo("i1");
        // A stop record that names an earlier incarnation does not apply to the current one.
        server.publish(
                13,
                List.of(SELF, PEER),
                List.of(),
                append(defaultRecords(), record("stop", "instance:i2", 13, "{\"incarnation\":3}")));
        assertThat(addresses()).isEqualTo("i1,i2");
        server.blackboard.readiness().publish(Readiness.LEAVING);
        assertThat(addresses()).isEqualTo("i2");
    }

    private String addresses() throws Exception {
        JsonNode response = json(server.get("/v1/addresses", ""));
        assertThat(response.path("ttlMs").asInt()).isEqualTo(2_000);
        StringBuilder names = new StringBuilder();
        response.path("addresses")
                .forEach(
                        node ->
                                names.append(names.length() == 0 ? "" : ",")
                                        .append(node.path("instance").asText()));
        return names.toString();
    }

    @Test
    void revisionIsInForceOnlyWhenEveryLiveInstanceReportsIt() throws Exception {
        server.fleet = fleet(20, status(SELF, 20), status(PEER, 19));
        JsonNode early = revision(20, 0);
        assertThat(early.path("inForce").asBoolean()).isFalse();
        assertThat(early.at("/behind/0").asText()).isEqualTo("i2/4");
        server.fleet = fleet(20, status(SELF, 20));
        assertThat(revision(20, 0).at("/behind/0").asText()).isEqualTo("i2/4");
        server.fleet = fleet(20, status(SELF, 20), status(PEER, 20));
        assertThat(revision(20, 0).path("inForce").asBoolean()).isTrue();
        assertThat(revision(21, 0).path("inForce").asBoolean()).isFalse();
    }

    @Test
    void instanceThatDoesNotReportDelaysARevisionForThreeSecondsOnly() throws Exception {
        server.fleet = fleet(20, status(SELF, 20), status(PEER, 19));
        long startedNanos = System.nanoTime();
        JsonNode response = revision(20, 50_000);
        assertThat(response.path("inForce").asBoolean()).isTrue();
        assertThat(System.nanoTime() - startedNanos).isGreaterThanOrEqualTo(2_900_000_000L);
    }

    @Test
    void evictedInstanceCountsUntilItsLeaseExpires() throws Exception {
        server.publish(
                30,
                List.of(SELF),
                List.of(new MembershipEvent.Evicted(30, List.of(PEER), "lost")),
                defaultRecords());
        server.fleet = fleet(30, status(SELF, 30));
        assertThat(revision(30, 0).path("inForce").asBoolean()).isFalse();
        server.clockOffsetMs.addAndGet(3_001);
        assertThat(revision(30, 0).path("inForce").asBoolean()).isTrue();
    }

    @Test
    void fleetShowsInstancesAndTheProgressOfStops() throws Exception {
        server.publish(
                12,
                List.of(SELF, PEER),
                List.of(),
                append(
                        append(defaultRecords(), record("stop", "endpoint:e1", 12, "{}")),
                        record("stop", "instance:i9", 11, "{}")));
        EndpointId e1 = EndpointId.of("e1");
        server.fleet =
                fleet(
                        12,
                        status(SELF, 12),
                        new InstanceStatus(PEER, 12, Readiness.READY, 2, Map.of(e1, 3), List.of()));
        JsonNode fleet = json(server.get("/admin/v1/fleet", READER_KEY));
        assertThat(fleet.at("/instances/1/ownedRunning").asInt()).isEqualTo(2);
        assertThat(fleet.at("/stops/0").toString())
                .isEqualTo("{\"name\":\"endpoint:e1\",\"state\":\"draining\",\"inFlight\":3}");
        assertThat(fleet.at("/stops/1/state").asText()).isEqualTo("stopped");
        // An instance that has not applied the stop may still send requests to the endpoint.
        server.fleet = fleet(12, status(SELF, 12), status(PEER, 11));
        assertThat(json(server.get("/admin/v1/fleet", READER_KEY)).at("/stops/0/state").asText())
                .isEqualTo("draining");
        server.fleet = fleet(12, status(SELF, 12), status(PEER, 12));
        assertThat(json(server.get("/admin/v1/fleet", READER_KEY)).at("/stops/0/state").asText())
                .isEqualTo("stopped");
    }

    private static FleetStatus fleet(long revision, InstanceStatus... instances) {
        return new FleetStatus("10.0.0.1:1", revision, List.of(instances));
    }

    private static InstanceStatus status(InstanceRef ref, long applied) {
        return new InstanceStatus(ref, applied, Readiness.READY, 0, Map.of(), List.of());
    }

    private JsonNode revision(long waitFor, long timeoutMs) throws Exception {
        return json(
                server.get(
                        "/admin/v1/revision?waitFor=" + waitFor + "&timeoutMs=" + timeoutMs,
                        READER_KEY));
    }

    private HttpRequest.Builder put(String path) {
        return server.request(path, BOOTSTRAP_KEY).header("Sapphire-Change-Id", "change-1");
    }

    private static void assertCode(HttpResponse<String> response, int status, String code)
            throws Exception {
        assertThat(response.statusCode()).isEqualTo(status);
        assertThat(json(response).path("code").asText()).isEqualTo(code);
    }
}
