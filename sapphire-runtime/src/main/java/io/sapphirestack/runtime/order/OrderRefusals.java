package io.sapphirestack.runtime.order;

import io.sapphirestack.core.error.ExecutionState;
import io.sapphirestack.core.error.Refusal;
import io.sapphirestack.core.error.RefusedException;

/** Refusals of orders and reads. Stateless. */
final class OrderRefusals {

    private OrderRefusals() {}

    static RefusedException notFound(String service) {
        return notRun(404, "not_found", "admission", "There is no plain service " + service + ".");
    }

    static RefusedException notReady() {
        return notRun(503, "not_ready", "admission", "This instance has not joined yet.");
    }

    static RefusedException keyReused() {
        return notRun(
                422, "key_reused", "reserve", "The idempotency key was used with another body.");
    }

    static RefusedException ledgerFull() {
        return notRun(503, "order_capacity", "reserve", "The order ledger is full.");
    }

    static RefusedException overloaded(String what) {
        return notRun(503, "overloaded", "dispatch", "Too many " + what + " are in progress.");
    }

    static RefusedException noEndpoint() {
        return notRun(503, "no_endpoint", "dispatch", "No endpoint can take the work.");
    }

    static RefusedException deadline(String step, String peer, ExecutionState ran) {
        return new RefusedException(
                new Refusal(504, "deadline_exceeded", "The deadline passed.", step, peer, ran, 0));
    }

    static RefusedException unanswered(String peer, ExecutionState ran) {
        return new RefusedException(
                new Refusal(
                        503, "no_endpoint", "No endpoint answered.", "receive", peer, ran, 1_000));
    }

    static RefusedException controlUnavailable(ExecutionState ran) {
        return new RefusedException(
                new Refusal(
                        503,
                        "control_unavailable",
                        "The control log did not answer in time.",
                        "reserve",
                        "local",
                        ran,
                        1_000));
    }

    static RefusedException unknown(String step, String peer, String detail) {
        return new RefusedException(
                new Refusal(409, "outcome_unknown", detail, step, peer, ExecutionState.UNKNOWN, 0));
    }

    static RefusedException notRun(int status, String code, String step, String detail) {
        return new RefusedException(Refusal.notExecuted(status, code, step, detail));
    }
}
