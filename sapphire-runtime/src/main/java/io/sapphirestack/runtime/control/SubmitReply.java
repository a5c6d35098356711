package io.sapphirestack.runtime.control;

import io.sapphirestack.core.control.ControlResult;
import java.util.Optional;

/**
 * Answer to a {@link SubmitRequest}.
 *
 * @param result answer of the state machine, or empty if there is none
 * @param leader address of the leader as far as it is known, else empty
 * @param maybeApplied whether the command may still be applied although there is no result
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
