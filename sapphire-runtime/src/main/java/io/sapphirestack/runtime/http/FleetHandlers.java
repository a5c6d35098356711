package io.sapphirestack.runtime.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sapphirestack.core.control.ControlView;
import io.sapphirestack.core.control.FleetStatus;
import io.sapphirestack.core.control.InstanceInfo;
import io.sapphirestack.core.control.InstanceStatus;
import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.id.InstanceId;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.core.record.ConfigRecord;
import io.sapphirestack.core.record.StopSpec;
import io.sapphirestack.core.record.StopTarget;
import io.sapphirestack.core.routing.EndpointState;
import java.io.IOException;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Handlers of the fleet status, of the burn counts and of the wait for a revision to be in force.
 * Thread-safe.
 */
final class FleetHandlers {

    private static final long FLEET_TIMEOUT_MS = 2_000;
    private static final long DEFAULT_WAIT_MS = 10_000;
    private static final long MAX_WAIT_MS = 60_000;

    // Instances report at least every 500 ms, so polling more often than this gains nothing.
    private static final long POLL_INTERVAL_MS = 100;

    private final FrontendServices services;
    private final Authenticator authenticator;
    private final BlockingControlClient control;
    private final AppliedRevisionTracker revisionTracker;

    FleetHandlers(
            FrontendServices services, Authenticator authenticator, BlockingControlClient control) {
        this.services = services;
        this.authenticator = authenticator;
        this.control = control;
        this.revisionTracker = new AppliedRevisionTracker(services.clock());
        services.blackboard().control().addListener(revisionTracker::onViewPublished);
    }

    void addTo(RouteTable routes) {
        routes.add("GET", "/admin/v1/fleet", this::fleetStatus)
                .add("GET", "/admin/v1/revision", this::revisionStatus)
                .add("GET", "/admin/v1/burn", this::burnCounts);
    }

    private ApiResponse revisionStatus(ApiRequest request) throws RefusedException, IOException {
        authenticator.authenticateOperator(request);
        OptionalLong waitFor = request.queryNumber("waitFor", 0, Long.MAX_VALUE);
        long timeoutMs = request.queryNumber("timeoutMs", 0, MAX_WAIT_MS).orElse(DEFAULT_WAIT_MS);
        long startedAtMs = request.receivedAtMs();
        long acceptedAtMs = -1;
        while (true) {
            FleetStatus fleet = control.fleetStatus(FLEET_TIMEOUT_MS);
            long requestedRevision = waitFor.orElse(fleet.revision());
            long nowMs = services.clock().nowMs();
            boolean accepted = fleet.revision() >= requestedRevision;
            if (accepted && acceptedAtMs < 0) {
                // The change was accepted at this time or earlier, so the lease on the previous
                // configuration expires at most 3 s from now.
                acceptedAtMs = nowMs;
            }
            Set<String> lagging =
                    revisionTracker.findLagging(controlView(), fleet, requestedRevision);
            boolean inForce =
                    accepted
                            && (lagging.isEmpty()
                                    || nowMs - acceptedAtMs
                                            >= AppliedRevisionTracker.CONFIGURATION_LEASE_MS);
            if (inForce || waitFor.isEmpty() || nowMs - startedAtMs >= timeoutMs) {
                ObjectNode body =
                        ApiJson.MAPPER
                                .createObjectNode()
                                .put("revision", fleet.revision())
                                .put("inForce", inForce);
                body.set("behind", ApiJson.MAPPER.valueToTree(lagging));
                return ApiResponse.json(200, body);
            }
            sleepBeforePoll();
        }
    }

    private static void sleepBeforePoll() throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while waiting for a revision", e);
        }
    }

    private ApiResponse burnCounts(ApiRequest request) throws RefusedException {
        authenticator.authenticateOperator(request);
        Optional<InstanceRef> self = services.blackboard().self().read();
        ObjectNode body =
                ApiJson.MAPPER
                        .createObjectNode()
                        .put("instance", self.map(ref -> ref.id().value()).orElse(""))
                        .put("sinceMs", services.burn().sinceMs());
        body.set("counts", ApiJson.MAPPER.valueToTree(services.burn().snapshot()));
        return ApiResponse.json(200, body);
    }

    private ApiResponse fleetStatus(ApiRequest request) throws RefusedException {
        authenticator.authenticateOperator(request);
        FleetStatus fleet = control.fleetStatus(FLEET_TIMEOUT_MS);
        ControlView view = controlView();
        ObjectNode body =
                ApiJson.MAPPER
                        .createObjectNode()
                        .put("leader", fleet.leader())
                        .put("revision", fleet.revision());
        addInstances(body.putArray("instances"), view, fleet);
        addEndpoints(body.putArray("endpoints"));
        addStops(body.putArray("stops"), view, fleet);
        return ApiResponse.json(200, body);
    }

    private static void addInstances(ArrayNode target, ControlView view, FleetStatus fleet) {
        Map<InstanceId, InstanceStatus> reports = newestReports(fleet);
        view.instances().values().stream()
                .sorted(Comparator.comparing(InstanceInfo::ref))
                .forEach(
                        info -> {
                            ObjectNode node =
                                    target.addObject()
                                            .put("id", info.ref().id().value())
                                            .put("incarnation", info.ref().incarnation())
                                            .put("availabilityZone", info.availabilityZone())
                                            .put("httpAddress", info.httpAddress());
                            addReport(node, reports.get(info.ref().id()));
                        });
    }

    private static void addReport(ObjectNode node, InstanceStatus report) {
        node.put("appliedRevision", report == null ? 0 : report.appliedRevision())
                .put("readiness", report == null ? "UNKNOWN" : report.readiness().name())
                .put("ownedRunning", report == null ? 0 : report.ownedRunning());
        node.set(
                "unreadable",
                ApiJson.MAPPER.valueToTree(report == null ? List.of() : report.unreadable()));
    }

    private static Map<InstanceId, InstanceStatus> newestReports(FleetStatus fleet) {
        return fleet.instances().stream()
                .collect(
                        Collectors.toMap(
                                status -> status.ref().id(),
                                Function.identity(),
                                (a, b) -> a.ref().incarnation() > b.ref().incarnation() ? a : b));
    }

    private void addEndpoints(ArrayNode target) {
        services.blackboard().endpoints().read().byId().values().stream()
                .sorted(Comparator.comparing(EndpointState::id))
                .forEach(
                        endpoint -> {
                            ObjectNode node =
                                    target.addObject()
                                            .put("id", endpoint.id().value())
                                            .put("service", endpoint.service())
                                            .put("address", endpoint.address())
                                            .put("availabilityZone", endpoint.availabilityZone());
                            node.set(
                                    "models",
                                    ApiJson.MAPPER.<JsonNode>valueToTree(
                                            endpoint.models().stream()
                                                    .sorted(Comparator.comparing(Object::toString))
                                                    .collect(Collectors.toList())));
                            node.put("running", endpoint.load().running())
                                    .put("queued", endpoint.load().queued());
                        });
    }

    private void addStops(ArrayNode target, ControlView view, FleetStatus fleet) {
        view.records().values().stream()
                .filter(record -> record.key().kind().equals("stop"))
                .sorted(Comparator.comparing(ConfigRecord::key))
                .forEach(
                        record -> {
                            Optional<StopSpec> spec = services.specs().stop(record);
                            if (spec.isPresent()) {
                                addStop(target, record, spec.get(), view, fleet);
                            }
                        });
    }

    private static void addStop(
            ArrayNode target,
            ConfigRecord record,
            StopSpec spec,
            ControlView view,
            FleetStatus fleet) {
        long inFlight;
        boolean stopped;
        if (spec.target() == StopTarget.ENDPOINT) {
            EndpointId endpoint = EndpointId.of(spec.id());
            inFlight =
                    fleet.instances().stream()
                            .mapToLong(status -> status.inFlight().getOrDefault(endpoint, 0))
                            .sum();
            boolean allApplied =
                    fleet.instances().size() >= view.instances().size()
                            && fleet.instances().stream()
                                    .allMatch(
                                            status ->
                                                    status.appliedRevision() >= record.revision());
            stopped = allApplied && inFlight == 0;
        } else {
            InstanceId instance = InstanceId.of(spec.id());
            InstanceStatus report = newestReports(fleet).get(instance);
            inFlight = report == null ? 0 : report.ownedRunning();
            stopped = !view.instances().containsKey(instance);
        }
        target.addObject()
                .put("name", record.key().name())
                .put("state", stopped ? "stopped" : "draining")
                .put("inFlight", inFlight);
    }

    private ControlView controlView() {
        return services.blackboard().control().read();
    }
}
