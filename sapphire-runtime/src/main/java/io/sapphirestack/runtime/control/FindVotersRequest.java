package io.sapphirestack.runtime.control;

import io.sapphirestack.runtime.transport.PeerMessage;
import io.sapphirestack.runtime.transport.PeerRequest;
import java.util.List;

/**
 * Asks an instance for the voters that it knows, because the voters in the settings may have been
 * replaced.
 */
@PeerMessage(code = 7, reply = FindVotersRequest.Voters.class)
public record FindVotersRequest() implements PeerRequest<FindVotersRequest.Voters> {

    /**
     * Voters that an instance knows, with the log index of that information.
     *
     * @param index log index at which this voter set was read; 0 for the voters in the settings
     * @param addresses addresses of the voters as {@code host:port}, empty if none is known
     */
    public record Voters(long index, List<String> addresses) {

        /** Makes a defensive copy of the list. */
        public Voters {
            addresses = List.copyOf(addresses);
        }
    }
}
