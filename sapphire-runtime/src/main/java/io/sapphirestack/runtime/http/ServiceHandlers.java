package io.sapphirestack.runtime.http;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sapphirestack.core.control.ControlResult;
import io.sapphirestack.core.error.ExecutionState;
import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.id.OrderKey;
import io.sapphirestack.core.record.RecordKey;
import io.sapphirestack.core.record.ServiceSpec;
import io.sapphirestack.runtime.order.OrderRequest;
import io.sapphirestack.runtime.order.ServiceResponse;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.Semaphore;

/** Handlers of orders and reads at plain services. Thread-safe. */
final class ServiceHandlers {

    private static final long DEFAULT_ORDER_DEADLINE_MS = 10_000;

    private final FrontendServices services;
    private final Authenticator authenticator;
    private final AdmissionGate gate;
    private final Semaphore reads;
    private final Semaphore orders;
    private final ObjectiveEvents events;

    ServiceHandlers(
            FrontendServices services,
            Authenticator authenticator,
            AdmissionGate gate,
            HttpSettings settings) {
        this.services = services;
        this.authenticator = authenticator;
        this.gate = gate;
        this.reads = new Semaphore(settings.maxReads());
        this.orders = new Semaphore(settings.maxOrders());
        this.events = new ObjectiveEvents(services.burn());
    }

    void addTo(RouteTable routes) {
        routes.add("POST", "/v1/services/{service}/orders", this::order)
                .add("GET", "/v1/services/{service}/orders/{key}", this::outcome)
                .add("GET", "/v1/services/{service}/read/{path...}", this::read);
    }

    private ApiResponse order(ApiRequest request) throws RefusedException, IOException {
        Authenticator.Caller caller = authenticator.caller(request);
        gate.requireNewWork();
        services.admission().admit(caller.account(), caller.spec());
        service(request);
        Optional<String> key = request.idempotencyKey();
        if (key.isEmpty()) {
            throw ApiRequest.badRequest("An order needs the header Idempotency-Key.");
        }
        OrderKey orderKey = new OrderKey(caller.account(), request.path("service"), key.get());
        long deadlineMs =
                request.receivedAtMs() + request.deadlineMs().orElse(DEFAULT_ORDER_DEADLINE_MS);
        byte[] body = request.body();
        AdmissionGate.acquire(orders, "orders");
        try {
            ServiceResponse answer =
                    services.orders()
                            .submit(
                                    new OrderRequest(
                                            orderKey, request.contentType(), body, deadlineMs));
            ApiResponse response =
                    ApiResponse.bytes(answer.status(), answer.contentType(), answer.body())
                            .header("Sapphire-Run", "yes");
            events.orderAnswered(orderKey.service());
            return answer.endpoint().isEmpty()
                    ? response.header("Sapphire-Stored", "true")
                    : response;
        } catch (RefusedException e) {
            if (e.refusal().executed() != ExecutionState.NO) {
                events.orderUnknown(orderKey.service());
            }
            throw e;
        } finally {
            orders.release();
        }
    }

    private ApiResponse outcome(ApiRequest request) throws RefusedException {
        Authenticator.Caller caller = authenticator.caller(request);
        services.admission().admit(caller.account(), caller.spec());
        service(request);
        if (request.path("key").length() > ApiRequest.MAX_KEY_CHARS) {
            throw ApiRequest.notFound("There is no order with this key.");
        }
        OrderKey key = new OrderKey(caller.account(), request.path("service"), request.path("key"));
        AdmissionGate.acquire(orders, "orders");
        try {
            return outcomeResponse(services.orders().outcome(key));
        } finally {
            orders.release();
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
        throw new IllegalStateException("not an outcome of an order: " + result);
    }

    private ApiResponse read(ApiRequest request) throws RefusedException {
        Authenticator.Caller caller = authenticator.caller(request);
        ServiceSpec spec = service(request);
        gate.requireNewRead(spec.staleReadLimitMs());
        services.admission().admit(caller.account(), caller.spec());
        String query = request.rawQuery().isEmpty() ? "" : "?" + request.rawQuery();
        long deadlineMs =
                request.receivedAtMs() + request.deadlineMs().orElse(spec.readTimeoutMs());
        String service = request.path("service");
        AdmissionGate.acquire(reads, "reads");
        try {
            ServiceResponse answer =
                    services.reads()
                            .read(
                                    caller.account(),
                                    service,
                                    request.path("path") + query,
                                    deadlineMs);
            long latencyMs = services.clock().nowMs() - request.receivedAtMs();
            events.readAnswered(service, latencyMs, spec.objectives().readLatencyMs());
            return ApiResponse.bytes(answer.status(), answer.contentType(), answer.body());
        } catch (RefusedException e) {
            events.readFailed(service);
            throw e;
        } finally {
            reads.release();
        }
    }

    private ServiceSpec service(ApiRequest request) throws RefusedException {
        try {
            RecordKey key = new RecordKey("service", request.path("service"));
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
