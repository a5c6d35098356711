package io.sapphirestack.runtime.control;

import io.sapphirestack.core.control.ControlCommand;
import io.sapphirestack.core.control.ControlResult;
import io.sapphirestack.core.control.FleetStatus;
import java.util.concurrent.CompletableFuture;

/**
 * Submits commands to the control log and reads the status of the fleet. Implementations are
 * thread-safe.
 */
public interface ControlClient {

    /**
     * Submits a command and retries it at other voters until the timeout. Every command is
     * idempotent, either by its change id, join id or nonce or by its effect, so a retry is safe.
     *
     * @param command command to append to the control log
     * @param timeoutMs timeout of the call including its retries, in milliseconds
     * @return the result once the command is committed and applied, or a failure with {@link
     *     ControlException}
     */
    CompletableFuture<ControlResult> submit(ControlCommand command, long timeoutMs);

    /**
     * Requests the status of the fleet from the leader.
     *
     * @param timeoutMs timeout of the call including its retries, in milliseconds
     * @return latest status reports of the live instances, or a failure with {@link
     *     ControlException}
     */
    CompletableFuture<FleetStatus> fleetStatus(long timeoutMs);
}
