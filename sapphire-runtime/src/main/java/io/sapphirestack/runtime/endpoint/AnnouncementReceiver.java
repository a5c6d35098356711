package io.sapphirestack.runtime.endpoint;

import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.membership.EndpointAnnouncement;

/**
 * Receives the announcements that endpoints send to this instance. Implementations are thread-safe.
 */
@FunctionalInterface
public interface AnnouncementReceiver {

    /**
     * Merges an announcement and passes it on to the other instances. A normal return acknowledges
     * it: the other instances learn of it.
     *
     * @param announcement announcement of an endpoint
     * @param bearerKey bearer key sent with the announcement
     * @throws RefusedException if the key is wrong, the service is unknown, or the name belongs to
     *     an endpoint of another service; with status 503 if no other instance can learn of the
     *     announcement now, so that the endpoint has to use another instance
     */
    void receive(EndpointAnnouncement announcement, String bearerKey) throws RefusedException;
}
