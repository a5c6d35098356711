package io.sapphirestack.runtime.control;

import io.sapphirestack.core.control.ControlCommand;
import io.sapphirestack.core.control.ControlResult;
import io.sapphirestack.core.control.FleetStatus;
import java.util.concurrent.CompletableFuture;

/** Submits commands to the control log. Thread-safe. */
public interface ControlClient {

    /**
     * Submits a command and retries it at other voters until the timeout. Every command is
     * idempotent by its change id, join id, nonce or nature, so a retry is safe.
     *
     * @param command command to append
     * @param timeoutMs time after which the call fails, in milliseconds
     * @return the result once the command is committed and applied, or a failure with {@link
     *     ControlException}
     */
    CompletableFuture<ControlResult> submit(ControlCommand command, long timeoutMs);

    /**
     * Asks the leader for the state of the fleet.
     *
     * @param timeoutMs time after which the call fails, in milliseconds
     * @return last reports of the live instances, or a failure with {@link ControlException}
     */
    CompletableFuture<FleetStatus> fleetStatus(long timeoutMs);
}
