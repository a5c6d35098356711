package io.sapphirestack.runtime.control;

import io.sapphirestack.core.control.FleetStatus;
import io.sapphirestack.runtime.transport.PeerMessage;
import io.sapphirestack.runtime.transport.PeerRequest;
import java.util.Optional;

/**
 * Asks a voter for the state of the fleet.
 *
 * @param forwarded whether a voter passed the request on; it is not passed on again
 */
@PeerMessage(code = 5, reply = FleetRequest.FleetReply.class)
public record FleetRequest(boolean forwarded) implements PeerRequest<FleetRequest.FleetReply> {

    /**
     * Answer to a {@link FleetRequest}.
     *
     * @param status state of the fleet, or empty if the voter could not reach the leader
     * @param leader address of the leader as far as it is known, else empty
     */
    public record FleetReply(Optional<FleetStatus> status, String leader) {}
}
