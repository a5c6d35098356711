package io.sapphirestack.runtime.endpoint;

import io.sapphirestack.core.error.Refusal;
import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.membership.EndpointAnnouncement;
import io.sapphirestack.core.membership.EndpointPhase;
import io.sapphirestack.runtime.metrics.Metrics;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Receives the announcements of endpoints, and acknowledges only those that the other instances
 * learn of: an endpoint that leaves relies on no instance using it later. An announcement that is
 * refused for this reason is merged all the same, and passed on when this instance can do so.
 *
 * <p>That an endpoint serves is repeated about once a second, so it suffices that neighbours
 * respond. That it leaves may be said only once, so a neighbour must have received it. Thread-safe.
 */
public final class AnnouncementService implements AnnouncementReceiver {

    /**
     * Longest wait for a neighbour that receives the leave of an endpoint, in milliseconds. It is
     * well below one second, after which endpoints try another instance.
     */
    static final long PASS_ON_TIMEOUT_MS = 600;

    private static final String STEP = "announcement";

    private final EndpointRegistry registry;
    private final DisseminationService dissemination;

    /**
     * Creates a service.
     *
     * @param registry merges the announcements
     * @param dissemination passes them on to the other instances
     */
    public AnnouncementService(EndpointRegistry registry, DisseminationService dissemination) {
        this.registry = Objects.requireNonNull(registry, "registry");
        this.dissemination = Objects.requireNonNull(dissemination, "dissemination");
    }

    /**
     * Registers a gauge that is 1 while announcements can be acknowledged, otherwise 0.
     *
     * @param metrics metrics of the instance
     */
    public void registerGauge(Metrics metrics) {
        metrics.registerGauge(
                "sapphire_dissemination_connected",
                "Whether other instances learn what endpoints announce to this one.",
                () -> dissemination.isConnected() ? 1 : 0);
    }

    @Override
    public void receive(EndpointAnnouncement announcement, String bearerKey)
            throws RefusedException {
        registry.receive(announcement, bearerKey);
        requirePassedOn(announcement);
    }

    /**
     * Merges an announcement from a source that needs no key, and passes it on to the other
     * instances.
     *
     * @param announcement announcement of an endpoint
     * @throws RefusedException if an endpoint of another service with a recent report has the same
     *     name, or, with status 503, no other instance can learn of the announcement now
     */
    public void receiveTrusted(EndpointAnnouncement announcement) throws RefusedException {
        registry.receiveTrusted(announcement);
        requirePassedOn(announcement);
    }

    /**
     * Records that the process of an endpoint has ended or is about to end, and passes it on to the
     * other instances.
     *
     * @param id name of the endpoint
     * @param epochMs wall-clock start time of the ending process in milliseconds, or empty for any
     *     process
     * @return whether this instance knows the endpoint with this start time
     * @throws RefusedException with status 503 if no other instance can learn of it now
     */
    public boolean recordEnd(EndpointId id, OptionalLong epochMs) throws RefusedException {
        if (!registry.recordEnd(id, epochMs)) {
            return false;
        }
        requireReceived(id);
        return true;
    }

    private void requirePassedOn(EndpointAnnouncement announcement) throws RefusedException {
        if (announcement.phase() != EndpointPhase.SERVING) {
            requireReceived(announcement.id());
        } else if (!dissemination.isConnected()) {
            throw disconnected(announcement.id());
        }
    }

    private void requireReceived(EndpointId id) throws RefusedException {
        boolean received;
        try {
            received = dissemination.passOn(id).get(PASS_ON_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            received = false;
        } catch (ExecutionException e) {
            throw new IllegalStateException("passing on a report never fails", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            received = false;
        }
        if (!received) {
            throw disconnected(id);
        }
    }

    private static RefusedException disconnected(EndpointId id) {
        return new RefusedException(
                Refusal.notExecuted(
                        503,
                        "disconnected",
                        STEP,
                        "No other instance can learn of endpoint " + id + " now."));
    }
}
