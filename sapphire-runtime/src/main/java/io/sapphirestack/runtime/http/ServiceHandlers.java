package io.sapphirestack.runtime.http;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sapphirestack.core.control.ControlResult;
import io.sapphirestack.core.error.ExecutionState;
import io.sapphirestack.core.error.Refusal;
import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.id.OrderKey;
import io.sapphirestack.core.record.RecordKey;
import io.sapphirestack.core.record.ServiceSpec;
import io.sapphirestack.runtime.order.OrderRequest;
import io.sapphirestack.runtime.order.ServiceResponse;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.Semaphore;

/** Handlers of orders and reads of plain services. Thread-safe. */
final class ServiceHandlers {

    /** Time after which a read that found no memory should be sent again, in milliseconds. */
    private static final long MEMORY_RETRY_AFTER_MS = 1_000;

    private static final long DEFAULT_ORDER_TIMEOUT_MS = 10_000;

    private final FrontendServices services;
    private final Authenticator authenticator;
    private final AdmissionGate gate;
    private final Semaphore readPermits;
    private final Semaphore orderPermits;
    private final ObjectiveEventRecorder objectiveEvents;

    ServiceHandlers(
            FrontendServices services,
            Authenticator authenticator,
            AdmissionGate gate,
            HttpSettings settings) {
        this.services = services;
        this.authenticator = authenticator;
        this.gate = gate;
        this.readPermits = new Semaphore(settings.maxReads());
        this.orderPermits = new Semaphore(settings.maxOrders());
        this.objectiveEvents = new ObjectiveEventRecorder(services.burn());
    }

    void addTo(RouteTable routes) {
        routes.add("POST", "/v1/services/{service}/orders", this::submitOrder)
                .add("GET", "/v1/services/{service}/orders/{key}", this::orderOutcome)
                .add("GET", "/v1/services/{service}/read/{path...}", this::read);
    }

    private ApiResponse submitOrder(ApiRequest request) throws RefusedException, IOException {
        Authenticator.AuthenticatedAccount caller = authenticator.authenticateAccount(request);
        gate.requireAdmission();
        services.admission().admit(caller.account(), caller.spec());
        requireService(request);
        Optional<String> key = request.idempotencyKey();
        if (key.isEmpty()) {
            throw ApiRequest.badRequest("An order requires the header Idempotency-Key.");
        }
        OrderKey orderKey =
                new OrderKey(caller.account(), request.pathParameter("service"), key.get());
        long deadlineMs =
                request.receivedAtMs() + request.timeoutMs().orElse(DEFAULT_ORDER_TIMEOUT_MS);
        byte[] body = request.body();
        AdmissionGate.acquirePermit(orderPermits, "orders");
        try {
            ServiceResponse serviceResponse =
                    services.orders()
                            .submit(
                                    new OrderRequest(
                                            orderKey, request.contentType(), body, deadlineMs));
            ApiResponse response =
                    ApiResponse.bytes(
                                    serviceResponse.status(),
                                    serviceResponse.contentType(),
                                    serviceResponse.body())
                            .header("Sapphire-Run", "yes");
            objectiveEvents.recordOrderCompleted(orderKey.service());
            return serviceResponse.endpoint().isEmpty()
                    ? response.header("Sapphire-Stored", "true")
                    : response;
        } catch (RefusedException e) {
            if (e.refusal().executed() != ExecutionState.NO) {
                objectiveEvents.recordOrderOutcomeUnknown(orderKey.service());
            }
            throw e;
        } finally {
            orderPermits.release();
        }
    }

    private ApiResponse orderOutcome(ApiRequest request) throws RefusedException {
        Authenticator.AuthenticatedAccount caller = authenticator.authenticateAccount(request);
        services.admission().admit(caller.account(), caller.spec());
        requireService(request);
        if (request.pathParameter("key").length() > ApiRequest.MAX_KEY_CHARS) {
            throw ApiRequest.notFound("There is no order with this key.");
        }
        OrderKey key =
                new OrderKey(
                        caller.account(),
                        request.pathParameter("service"),
                        request.pathParameter("key"));
        AdmissionGate.acquirePermit(orderPermits, "orders");
        try {
            return outcomeResponse(services.orders().outcome(key));
        } finally {
            orderPermits.release();
        }
    }

    private static ApiResponse outcomeResponse(ControlResult result) throws RefusedException {
        ObjectNode body = ApiJson.MAPPER.createObjectNode();
        if (result instanceof ControlResult.OrderDone) {
            ControlResult.OrderDone done = (ControlResult.OrderDone) result;
            body.put("state", "done")
                    .put("status", done.status())
                    .put("contentType", done.contentType())
                    .put("answer", done.answer());
            return ApiResponse.json(200, body);
        }
        if (result instanceof ControlResult.OrderReleased) {
            return ApiResponse.json(200, body.put("state", "released"));
        }
        if (result instanceof ControlResult.OrderReserved) {
            ControlResult.OrderReserved reserved = (ControlResult.OrderReserved) result;
            body.put("state", "reserved").put("holder", reserved.holder().toString());
            return ApiResponse.json(202, body);
        }
        if (result instanceof ControlResult.OrderNotFound) {
            throw ApiRequest.notFound("There is no order with this key.");
        }
        throw new IllegalStateException("unexpected result of an order look-up: " + result);
    }

    private ApiResponse read(ApiRequest request) throws RefusedException {
        Authenticator.AuthenticatedAccount caller = authenticator.authenticateAccount(request);
        ServiceSpec spec = requireService(request);
        gate.requireReadAdmission(spec.staleReadLimitMs());
        services.admission().admit(caller.account(), caller.spec());
        String query = request.rawQuery().isEmpty() ? "" : "?" + request.rawQuery();
        long deadlineMs = request.receivedAtMs() + request.timeoutMs().orElse(spec.readTimeoutMs());
        String service = request.pathParameter("service");
        AdmissionGate.acquirePermit(readPermits, "reads");
        try {
            ServiceResponse serviceResponse =
                    services.reads()
                            .read(
                                    caller.account(),
                                    service,
                                    request.pathParameter("path") + query,
                                    deadlineMs);
            if (!request.reserveMemory(serviceResponse.body().length)) {
                throw new RefusedException(noMemory());
            }
            long latencyMs = services.clock().nowMs() - request.receivedAtMs();
            objectiveEvents.recordReadCompleted(
                    service, latencyMs, spec.objectives().readLatencyMs());
            return ApiResponse.bytes(
                    serviceResponse.status(),
                    serviceResponse.contentType(),
                    serviceResponse.body());
        } catch (RefusedException e) {
            objectiveEvents.recordReadFailed(service);
            throw e;
        } finally {
            readPermits.release();
        }
    }

    private static Refusal noMemory() {
        return new Refusal(
                503,
                "memory_exhausted",
                "This instance has no memory for the response.",
                "send",
                "local",
                ExecutionState.YES,
                MEMORY_RETRY_AFTER_MS);
    }

    private ServiceSpec requireService(ApiRequest request) throws RefusedException {
        try {
            RecordKey key = new RecordKey("service", request.pathParameter("service"));
            return services.blackboard()
                    .control()
                    .read()
                    .findRecord(key)
                    .flatMap(services.specs()::service)
                    .orElseThrow(
                            () -> ApiRequest.notFound("There is no service " + key.name() + "."));
        } catch (IllegalArgumentException e) {
            throw ApiRequest.notFound("There is no service with this name.");
        }
    }
}
