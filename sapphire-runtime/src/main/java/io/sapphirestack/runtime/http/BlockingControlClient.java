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

/** Calls the control log, waits for the result and converts failures into refusals. Thread-safe. */
final class BlockingControlClient {

    private static final long DEFAULT_TIMEOUT_MS = 5_000;

    // The control client enforces the timeout itself; this is a safety margin in case it does not.
    private static final long TIMEOUT_MARGIN_MS = 2_000;

    private final ControlClient client;

    BlockingControlClient(ControlClient client) {
        this.client = client;
    }

    ControlResult submitAndWait(ControlCommand command, ApiRequest request)
            throws RefusedException {
        long timeoutMs = request.timeoutMs().orElse(DEFAULT_TIMEOUT_MS);
        return await(client.submit(command, timeoutMs), timeoutMs);
    }

    /**
     * Submits a read-only command. Its failures are reported as {@code control_unavailable},
     * because no change can be left unconfirmed.
     */
    ControlResult submitRead(ControlCommand command, ApiRequest request) throws RefusedException {
        try {
            return submitAndWait(command, request);
        } catch (RefusedException e) {
            throw unavailable(e.refusal().peer(), e.refusal().detail(), e);
        }
    }

    FleetStatus fleetStatus(long timeoutMs) throws RefusedException {
        try {
            return await(client.fleetStatus(timeoutMs), timeoutMs);
        } catch (RefusedException e) {
            throw unavailable(e.refusal().peer(), e.refusal().detail(), e);
        }
    }

    private static <T> T await(CompletableFuture<T> future, long timeoutMs)
            throws RefusedException {
        try {
            return future.get(timeoutMs + TIMEOUT_MARGIN_MS, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            throw unconfirmed("local", "The control log did not respond in time.", e);
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
