package io.sapphirestack.standins.support;

import io.sapphirestack.core.membership.EndpointAnnouncement;
import java.io.Closeable;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import org.jboss.logging.Logger;

/**
 * Announces an endpoint to one of the instances at a fixed period, and tries another instance after
 * a failure. Thread-safe.
 */
public final class Announcer implements Closeable {

    private static final Logger LOG = Logger.getLogger(Announcer.class);
    private static final int REQUEST_TIMEOUT_MS = 800;
    // Two further instances are enough to announce within the same second if the first one has
    // failed.
    private static final int MAX_ADDRESSES_PER_ANNOUNCEMENT = 3;

    private final InstanceSelector instances;
    private final String key;
    private final LongFunction<EndpointAnnouncement> announcementSource;
    private final ScheduledExecutorService executor =
            Executors.newSingleThreadScheduledExecutor(
                    task -> {
                        Thread thread = new Thread(task, "announcer");
                        thread.setDaemon(true);
                        return thread;
                    });
    private long sequence;

    /**
     * Creates an announcer.
     *
     * @param instances selects the instance to announce to
     * @param key bearer key of the service
     * @param announcementSource creates the announcement with the given sequence number; called
     *     once per period
     */
    public Announcer(
            InstanceSelector instances,
            String key,
            LongFunction<EndpointAnnouncement> announcementSource) {
        this.instances = instances;
        this.key = key;
        this.announcementSource = announcementSource;
    }

    /**
     * Starts announcing on a background thread.
     *
     * @param periodMs period in milliseconds, positive
     */
    public void start(long periodMs) {
        executor.scheduleAtFixedRate(
                this::announceAndLogFailure, 0, periodMs, TimeUnit.MILLISECONDS);
    }

    private void announceAndLogFailure() {
        try {
            announce();
        } catch (RuntimeException e) {
            LOG.warn("SAP4003 failed to announce the endpoint", e);
        }
    }

    /**
     * Sends one announcement, to at most three addresses one after the other. Logs failures at
     * debug level.
     */
    public void announce() {
        byte[] body = JsonSupport.toBytes(announcementSource.apply(++sequence));
        for (int i = 0; i < MAX_ADDRESSES_PER_ANNOUNCEMENT; i++) {
            String address = instances.chooseAddress();
            try {
                BufferedHttpResponse response =
                        StandInClientConnection.sendOnNewConnection(
                                address,
                                REQUEST_TIMEOUT_MS,
                                "POST",
                                "/v1/announcements",
                                Map.of("Authorization", "Bearer " + key),
                                body);
                if (response.status() / 100 == 2) {
                    return;
                }
                LOG.debugf("%s refused the announcement: %s", address, response.text());
            } catch (IOException e) {
                LOG.debugf("announcement to %s failed: %s", address, e.getMessage());
            }
            instances.markFailed(address);
        }
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
