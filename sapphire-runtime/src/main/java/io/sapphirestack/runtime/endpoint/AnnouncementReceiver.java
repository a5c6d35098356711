package io.sapphirestack.runtime.endpoint;

import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.membership.EndpointAnnouncement;

/** Takes announcements that endpoints send to this instance. Thread-safe. */
@FunctionalInterface
public interface AnnouncementReceiver {

    /**
     * Takes an announcement and passes it on to the other instances.
     *
     * @param announcement what the endpoint tells
     * @param bearerKey key that came with it
     * @throws RefusedException if the key is wrong or the service is unknown
     */
    void receive(EndpointAnnouncement announcement, String bearerKey) throws RefusedException;
}
