package io.sapphirestack.runtime.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sapphirestack.core.control.ControlCommand;
import io.sapphirestack.core.control.ControlResult;
import io.sapphirestack.core.control.ControlView;
import io.sapphirestack.core.error.Refusal;
import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.record.ConfigRecord;
import io.sapphirestack.core.record.RecordKey;
import java.io.IOException;
import java.util.Map;
import java.util.Optional;

/** Handlers of the operator API for configuration records. Thread-safe. */
final class RecordHandlers {

    private static final int MAX_RECORD_BYTES = 256 * 1024;
    private static final Map<String, Integer> STATUS_BY_REFUSAL_CODE =
            Map.of(
                    "invalid_record", 422,
                    "unreadable_by_instances", 422,
                    "already_leaving", 409,
                    "not_found", 404);

    private final FrontendServices services;
    private final Authenticator authenticator;
    private final AdmissionGate gate;
    private final BlockingControlClient control;

    RecordHandlers(
            FrontendServices services,
            Authenticator authenticator,
            AdmissionGate gate,
            BlockingControlClient control) {
        this.services = services;
        this.authenticator = authenticator;
        this.gate = gate;
        this.control = control;
    }

    void addTo(RouteTable routes) {
        routes.add("GET", "/admin/v1/records", this::list)
                .add("GET", "/admin/v1/records/{kind}/{name}", this::read)
                .add("PUT", "/admin/v1/records/{kind}/{name}", this::put)
                .add("DELETE", "/admin/v1/records/{kind}/{name}", this::delete)
                .add("GET", "/admin/v1/records/{kind}/{name}/history", this::history);
    }

    private ApiResponse list(ApiRequest request) throws RefusedException {
        authenticator.authenticateOperator(request);
        ControlView view = services.blackboard().control().read();
        Optional<String> kind = request.queryParameter("kind");
        ObjectNode body = ApiJson.MAPPER.createObjectNode().put("revision", view.revision());
        ArrayNode records = body.putArray("records");
        view.records().values().stream()
                .filter(record -> kind.isEmpty() || record.key().kind().equals(kind.get()))
                .sorted((a, b) -> a.key().compareTo(b.key()))
                .forEach(record -> records.add(ApiJson.MAPPER.<JsonNode>valueToTree(record)));
        return ApiResponse.json(200, body);
    }

    private ApiResponse read(ApiRequest request) throws RefusedException {
        authenticator.authenticateOperator(request);
        RecordKey key = recordKey(request);
        ConfigRecord record =
                services.blackboard()
                        .control()
                        .read()
                        .findRecord(key)
                        .orElseThrow(() -> ApiRequest.notFound("There is no record " + key + "."));
        return ApiResponse.json(200, record).header("ETag", "\"" + record.revision() + "\"");
    }

    private ApiResponse put(ApiRequest request) throws RefusedException, IOException {
        Authenticator.AuthenticatedOperator operator = requireAdmin(request);
        RecordKey key = recordKey(request);
        byte[] bytes = request.body();
        if (bytes.length > MAX_RECORD_BYTES) {
            throw new RefusedException(
                    Refusal.notExecuted(
                            413,
                            "body_too_large",
                            "parse",
                            "The record exceeds the limit of " + MAX_RECORD_BYTES + " bytes."));
        }
        JsonNode body = request.jsonObject();
        if (!body.path("body").isObject()) {
            throw invalidRecord("body must be a JSON object.");
        }
        return submit(
                new ControlCommand.PutRecord(
                        changeId(request),
                        operator.name(),
                        key,
                        expectedRevision(request, true),
                        positiveVersion(body, "schemaVersion"),
                        positiveVersion(body, "minimumReader"),
                        body.path("body"),
                        dryRun(request)),
                request);
    }

    private ApiResponse delete(ApiRequest request) throws RefusedException {
        Authenticator.AuthenticatedOperator operator = requireAdmin(request);
        return submit(
                new ControlCommand.DeleteRecord(
                        changeId(request),
                        operator.name(),
                        recordKey(request),
                        expectedRevision(request, false),
                        dryRun(request)),
                request);
    }

    private ApiResponse history(ApiRequest request) throws RefusedException {
        authenticator.authenticateOperator(request);
        ControlResult result =
                control.submitRead(new ControlCommand.ReadHistory(recordKey(request)), request);
        if (!(result instanceof ControlResult.RecordHistory)) {
            throw new IllegalStateException("unexpected result " + result);
        }
        ObjectNode body = ApiJson.MAPPER.createObjectNode();
        ArrayNode versions = body.putArray("versions");
        ((ControlResult.RecordHistory) result)
                .versions()
                .forEach(version -> versions.add(ApiJson.MAPPER.<JsonNode>valueToTree(version)));
        return ApiResponse.json(200, body);
    }

    private ApiResponse submit(ControlCommand command, ApiRequest request) throws RefusedException {
        ControlResult result = control.submitAndWait(command, request);
        if (result instanceof ControlResult.RecordAccepted) {
            long revision = ((ControlResult.RecordAccepted) result).revision();
            return ApiResponse.json(
                    200,
                    ApiJson.MAPPER
                            .createObjectNode()
                            .put("revision", revision)
                            .put("dryRun", dryRun(request)));
        }
        if (result instanceof ControlResult.RecordConflict) {
            return conflict((ControlResult.RecordConflict) result);
        }
        if (result instanceof ControlResult.RecordRefused) {
            ControlResult.RecordRefused refused = (ControlResult.RecordRefused) result;
            throw new RefusedException(
                    Refusal.notExecuted(
                            STATUS_BY_REFUSAL_CODE.getOrDefault(refused.code(), 422),
                            refused.code(),
                            "change",
                            refused.detail()));
        }
        throw new IllegalStateException("unexpected result " + result);
    }

    private static ApiResponse conflict(ControlResult.RecordConflict conflict) {
        Refusal refusal =
                Refusal.notExecuted(
                        412,
                        "revision_conflict",
                        "change",
                        "The current revision is " + conflict.currentRevision() + ".");
        return ApiResponse.problem(
                refusal,
                ApiResponse.problemBody(refusal)
                        .put("currentRevision", conflict.currentRevision())
                        .put("winnerChangeId", conflict.winnerChangeId())
                        .put("winnerOperator", conflict.winnerOperator()));
    }

    // The configuration must be confirmed, because an instance with a stale configuration could
    // accept an operator whose record was changed or deleted.
    private Authenticator.AuthenticatedOperator requireAdmin(ApiRequest request)
            throws RefusedException {
        Authenticator.AuthenticatedOperator operator = authenticator.authenticateOperator(request);
        if (!operator.admin()) {
            throw new RefusedException(
                    Refusal.notExecuted(
                            403, "forbidden", "authorize", "This operator has read-only access."));
        }
        if (!operator.bootstrap() && !gate.isLeaseValid(0)) {
            throw new RefusedException(
                    Refusal.notExecuted(
                            503,
                            "configuration_stale",
                            "authorize",
                            "The configuration of this instance is not confirmed."));
        }
        return operator;
    }

    private static RecordKey recordKey(ApiRequest request) throws RefusedException {
        try {
            return new RecordKey(request.pathParameter("kind"), request.pathParameter("name"));
        } catch (IllegalArgumentException e) {
            throw ApiRequest.badRequest("The path does not name a valid record: " + e.getMessage());
        }
    }

    private static String changeId(ApiRequest request) throws RefusedException {
        String id = request.header("Sapphire-Change-Id").orElse("");
        if (id.isEmpty() || id.length() > 128) {
            throw ApiRequest.badRequest(
                    "The header Sapphire-Change-Id must have 1 to 128 random characters.");
        }
        return id;
    }

    private static long expectedRevision(ApiRequest request, boolean mayCreate)
            throws RefusedException {
        Optional<String> match = request.header("If-Match");
        Optional<String> noneMatch = request.header("If-None-Match");
        if (match.isPresent() == noneMatch.isPresent()) {
            throw ApiRequest.badRequest("Exactly one of If-Match and If-None-Match must be given.");
        }
        if (noneMatch.isPresent()) {
            if (!mayCreate || !noneMatch.get().trim().equals("*")) {
                throw ApiRequest.badRequest(
                        "If-None-Match must be *, and is allowed only for creating a record.");
            }
            return 0;
        }
        String text = match.get().trim();
        if (text.length() < 3 || !text.startsWith("\"") || !text.endsWith("\"")) {
            throw ApiRequest.badRequest("If-Match must be a revision in quotation marks.");
        }
        return ApiRequest.parseNumber(
                "If-Match", text.substring(1, text.length() - 1), 1, Long.MAX_VALUE);
    }

    private static boolean dryRun(ApiRequest request) throws RefusedException {
        String text = request.queryParameter("dryRun").orElse("false");
        if (!text.equals("true") && !text.equals("false")) {
            throw ApiRequest.badRequest("dryRun must be true or false.");
        }
        return text.equals("true");
    }

    private static int positiveVersion(JsonNode body, String field) throws RefusedException {
        JsonNode value = body.path(field);
        if (!value.isInt() || value.intValue() < 1) {
            throw invalidRecord(field + " must be a positive integer.");
        }
        return value.intValue();
    }

    private static RefusedException invalidRecord(String detail) {
        return new RefusedException(Refusal.notExecuted(422, "invalid_record", "parse", detail));
    }
}
