package io.sapphirestack.runtime.order;

import io.sapphirestack.core.error.ExecutionState;
import io.sapphirestack.core.error.Refusal;
import io.sapphirestack.core.error.RefusedException;

/** Creates the refusals of orders and reads. Stateless. */
final class OrderRefusals {

    private OrderRefusals() {}

    static RefusedException notFound(String service) {
        return notExecuted(
                404, "not_found", "admission", "There is no plain service " + service + ".");
    }

    static RefusedException notReady() {
        return notExecuted(503, "not_ready", "admission", "This instance has not joined yet.");
    }

    static RefusedException keyReused() {
        return notExecuted(
                422, "key_reused", "reserve", "The idempotency key was used with another body.");
    }

    static RefusedException ledgerFull() {
        return notExecuted(503, "order_capacity", "reserve", "The order ledger is full.");
    }

    static RefusedException overloaded(String requestKind) {
        return notExecuted(
                503, "overloaded", "dispatch", "Too many " + requestKind + " are in progress.");
    }

    static RefusedException noEndpoint() {
        return notExecuted(503, "no_endpoint", "dispatch", "No endpoint can accept the request.");
    }

    static RefusedException deadlineExceeded(String step, String peer, ExecutionState executed) {
        return new RefusedException(
                new Refusal(
                        504, "deadline_exceeded", "The deadline passed.", step, peer, executed, 0));
    }

    static RefusedException noResponse(String peer, ExecutionState executed) {
        return new RefusedException(
                new Refusal(
                        503,
                        "no_endpoint",
                        "No endpoint returned a response.",
                        "receive",
                        peer,
                        executed,
                        1_000));
    }

    static RefusedException quarantined(ExecutionState executed, long remainingMs) {
        return new RefusedException(
                new Refusal(
                        503,
                        "request_quarantined",
                        "The request crashes the endpoints that run it; it is not sent for now.",
                        "dispatch",
                        "local",
                        executed,
                        remainingMs));
    }

    static RefusedException controlUnavailable(ExecutionState executed) {
        return new RefusedException(
                new Refusal(
                        503,
                        "control_unavailable",
                        "The control log did not reply in time.",
                        "reserve",
                        "local",
                        executed,
                        1_000));
    }

    static RefusedException outcomeUnknown(String step, String peer, String detail) {
        return new RefusedException(
                new Refusal(409, "outcome_unknown", detail, step, peer, ExecutionState.UNKNOWN, 0));
    }

    static RefusedException notExecuted(int status, String code, String step, String detail) {
        return new RefusedException(Refusal.notExecuted(status, code, step, detail));
    }
}
