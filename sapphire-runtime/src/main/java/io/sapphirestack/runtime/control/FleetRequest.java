package io.sapphirestack.runtime.control;

import io.sapphirestack.core.control.FleetStatus;
import io.sapphirestack.runtime.transport.PeerMessage;
import io.sapphirestack.runtime.transport.PeerRequest;
import java.util.Optional;

/**
 * Asks a voter for the status of the fleet.
 *
 * @param forwarded whether another voter has forwarded the request; it is not forwarded again
 */
@PeerMessage(code = 5, reply = FleetRequest.FleetReply.class)
public record FleetRequest(boolean forwarded) implements PeerRequest<FleetRequest.FleetReply> {

    /**
     * Reply to a {@link FleetRequest}.
     *
     * @param status status of the fleet, or empty if the voter is not the leader and could not
     *     reach it
     * @param leader address of the leader, empty if unknown
     */
    public record FleetReply(Optional<FleetStatus> status, String leader) {}
}
