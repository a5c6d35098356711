package io.sapphirestack.runtime.http;

import io.sapphirestack.core.control.ControlCommand;
import io.sapphirestack.core.control.ControlResult;
import io.sapphirestack.core.control.FleetStatus;
import io.sapphirestack.core.error.ExecutionState;
import io.sapphirestack.core.error.Refusal;
import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.runtime.control.ControlClient;
import io.sapphirestack.runtime.control.ControlException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Waits for the control log and turns its failures into refusals. Thread-safe. */
final class ControlCalls {

    private static final long DEFAULT_TIMEOUT_MS = 5_000;

    // The client gives up by itself; this is only for a client that does not.
    private static final long EXTRA_WAIT_MS = 2_000;

    private final ControlClient client;

    ControlCalls(ControlClient client) {
        this.client = client;
    }

    ControlResult submit(ControlCommand command, ApiRequest request) throws RefusedException {
        long timeoutMs = request.deadlineMs().orElse(DEFAULT_TIMEOUT_MS);
        return await(client.submit(command, timeoutMs), timeoutMs);
    }

    /** Submits a command that changes nothing, so that a failure never leaves a change behind. */
    ControlResult read(ControlCommand command, ApiRequest request) throws RefusedException {
        try {
            return submit(command, request);
        } catch (RefusedException e) {
            throw unavailable(e.refusal().peer(), e.refusal().detail(), e);
        }
    }

    FleetStatus fleet(long timeoutMs) throws RefusedException {
        try {
            return await(client.fleetStatus(timeoutMs), timeoutMs);
        } catch (RefusedException e) {
            throw unavailable(e.refusal().peer(), e.refusal().detail(), e);
        }
    }

    private static <T> T await(CompletableFuture<T> future, long timeoutMs)
            throws RefusedException {
        try {
            return future.get(timeoutMs + EXTRA_WAIT_MS, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            throw unconfirmed("local", "The control log did not answer in time.", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw unconfirmed("local", "The wait for the control log was interrupted.", e);
        } catch (ExecutionException e) {
            if (e.getCause() instanceof ControlException) {
                ControlException cause = (ControlException) e.getCause();
                throw cause.maybeApplied()
                        ? unconfirmed(cause.peer(), cause.getMessage(), cause)
                        : unavailable(cause.peer(), cause.getMessage(), cause);
            }
            throw unconfirmed("local", "The control log failed: " + e.getCause(), e);
        }
    }

    private static RefusedException unconfirmed(String peer, String detail, Throwable cause) {
        return new RefusedException(
                new Refusal(
                        503,
                        "change_unconfirmed",
                        detail,
                        "submit",
                        peer,
                        ExecutionState.UNKNOWN,
                        1_000),
                cause);
    }

    private static RefusedException unavailable(String peer, String detail, Throwable cause) {
        return new RefusedException(
                new Refusal(
                        503,
                        "control_unavailable",
                        detail,
                        "submit",
                        peer,
                        ExecutionState.NO,
                        1_000),
                cause);
    }
}
