package io.sapphirestack.runtime.control;

import io.sapphirestack.runtime.transport.PeerMessage;
import io.sapphirestack.runtime.transport.PeerRequest;
import java.util.List;

/** Asks any instance which voters it knows, because those of the settings may be gone. */
@PeerMessage(code = 7, reply = FindVotersRequest.Voters.class)
public record FindVotersRequest() implements PeerRequest<FindVotersRequest.Voters> {

    /**
     * Voters that an instance knows.
     *
     * @param index log index up to which they are known, 0 for those of the settings
     * @param addresses addresses of the voters
     */
    public record Voters(long index, List<String> addresses) {

        /** Copies the list. */
        public Voters {
            addresses = List.copyOf(addresses);
        }
    }
}
