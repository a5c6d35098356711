package io.sapphirestack.runtime.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sapphirestack.core.blackboard.Readiness;
import io.sapphirestack.core.control.ControlView;
import io.sapphirestack.core.control.InstanceInfo;
import io.sapphirestack.core.error.Refusal;
import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.core.membership.EndpointAnnouncement;
import io.sapphirestack.core.record.ConfigRecord;
import io.sapphirestack.core.record.RecordKey;
import io.sapphirestack.core.record.StopTarget;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Comparator;
import java.util.Optional;

/**
 * Handlers of the address list, endpoint announcements, health, readiness and metrics. Thread-safe.
 */
final class StatusHandlers {

    /** Time for which callers may cache the address list, in milliseconds. */
    static final long ADDRESS_TTL_MS = 2_000;

    private final FrontendServices services;
    private final AdmissionGate gate;

    StatusHandlers(FrontendServices services, AdmissionGate gate) {
        this.services = services;
        this.gate = gate;
    }

    void addTo(RouteTable routes) {
        routes.add("GET", "/v1/addresses", this::addresses)
                .add("POST", "/v1/announcements", this::announce)
                .add("GET", "/health", request -> ApiResponse.json(200, statusBody("up")))
                .add("GET", "/ready", this::ready)
                .add("GET", "/metrics", this::metrics);
    }

    private ApiResponse addresses(ApiRequest request) {
        ControlView view = services.blackboard().control().read();
        Optional<InstanceRef> self = services.blackboard().self().read();
        ObjectNode body = ApiJson.MAPPER.createObjectNode().put("ttlMs", ADDRESS_TTL_MS);
        ArrayNode addresses = body.putArray("addresses");
        view.instances().values().stream()
                .filter(info -> !isStopping(view, info.ref()))
                .filter(info -> !isSelfAndNotReady(info.ref(), self))
                .sorted(Comparator.comparing(InstanceInfo::ref))
                .forEach(
                        info ->
                                addresses
                                        .addObject()
                                        .put("address", info.httpAddress())
                                        .put("instance", info.ref().id().value())
                                        .put("availabilityZone", info.availabilityZone())
                                        .put("weight", 1));
        return ApiResponse.json(200, body);
    }

    // An instance that stops on a signal writes a stop record that names its current incarnation,
    // so that the record does not apply after its next start.
    private static boolean isStopping(ControlView view, InstanceRef ref) {
        RecordKey key = new RecordKey("stop", StopTarget.INSTANCE.namePrefix() + ref.id());
        return view.findRecord(key).filter(record -> appliesTo(record, ref)).isPresent();
    }

    static boolean appliesTo(ConfigRecord stop, InstanceRef ref) {
        long incarnation = stop.body().path("incarnation").asLong(0);
        return incarnation == 0 || incarnation == ref.incarnation();
    }

    private boolean isSelfAndNotReady(InstanceRef ref, Optional<InstanceRef> self) {
        return self.isPresent()
                && self.get().id().equals(ref.id())
                && services.blackboard().readiness().read() != Readiness.READY;
    }

    private ApiResponse announce(ApiRequest request) throws RefusedException, IOException {
        gate.requireAdmittingReadiness();
        String key =
                request.bearerKey()
                        .orElseThrow(
                                () ->
                                        new RefusedException(
                                                Refusal.notExecuted(
                                                        401,
                                                        "unauthorized",
                                                        "authenticate",
                                                        "The bearer key is missing.")));
        EndpointAnnouncement announcement;
        try {
            announcement = ApiJson.MAPPER.readValue(request.body(), EndpointAnnouncement.class);
        } catch (JsonProcessingException e) {
            throw ApiRequest.badRequest(
                    "The announcement is invalid: " + e.getOriginalMessage() + ".");
        }
        if (announcement == null) {
            throw ApiRequest.badRequest("The announcement must be a JSON object.");
        }
        services.announcements().receive(announcement, key);
        return ApiResponse.empty(204);
    }

    private ApiResponse ready(ApiRequest request) throws RefusedException {
        if (!gate.isReady()) {
            gate.requireAdmission();
            throw new RefusedException(
                    Refusal.notExecuted(503, "not_ready", "ready", "This instance is leaving."));
        }
        return ApiResponse.json(200, statusBody("ready"));
    }

    private ApiResponse metrics(ApiRequest request) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        services.metrics().write(out);
        return ApiResponse.bytes(200, services.metrics().contentType(), out.toByteArray());
    }

    private static ObjectNode statusBody(String status) {
        return ApiJson.MAPPER.createObjectNode().put("status", status);
    }
}
