package io.sapphirestack.runtime.control;

import io.sapphirestack.core.control.ControlResult;
import java.util.Optional;

/**
 * Reply to a {@link SubmitRequest}.
 *
 * @param result result of the state machine, or empty if there is none
 * @param leader address of the leader, empty if unknown
 * @param maybeApplied if there is no result, whether the command may have been or may still be
 *     applied
 */
public record SubmitReply(Optional<ControlResult> result, String leader, boolean maybeApplied) {

    static SubmitReply of(ControlResult result, String leader) {
        return new SubmitReply(Optional.of(result), leader, true);
    }

    static SubmitReply notAppended(String leader) {
        return new SubmitReply(Optional.empty(), leader, false);
    }

    static SubmitReply unknown(String leader) {
        return new SubmitReply(Optional.empty(), leader, true);
    }
}
