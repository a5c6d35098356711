package io.sapphirestack.runtime.control;

import io.sapphirestack.runtime.transport.PeerMessage;
import io.sapphirestack.runtime.transport.PeerRequest;
import java.util.List;

/**
 * Exchanges the voters that two instances know, because the voters in the settings may have been
 * replaced. The receiver learns from the request and the sender from the reply.
 *
 * @param known voters that the sender knows; absent in requests of earlier builds
 */
@PeerMessage(code = 7, reply = FindVotersRequest.Voters.class)
public record FindVotersRequest(Voters known) implements PeerRequest<FindVotersRequest.Voters> {

    /** Replaces absent voters by none. */
    public FindVotersRequest {
        known = known == null ? Voters.NONE : known;
    }

    /**
     * Voters that an instance knows, with the log index of that information.
     *
     * @param index log index at which this voter set was read; 0 for the voters in the settings
     * @param addresses addresses of the voters as {@code host:port}, empty if none is known
     */
    public record Voters(long index, List<String> addresses) {

        /** No voters. */
        public static final Voters NONE = new Voters(0, List.of());

        /** Makes a defensive copy of the list. */
        public Voters {
            addresses = addresses == null ? List.of() : List.copyOf(addresses);
        }

        /** Returns whether these voters were read from a control log, not from settings. */
        boolean isFromLog() {
            return index > 0;
        }
    }
}
