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
 * Announces an endpoint to one of the instances at a fixed period, and to another one after a
 * failure. Thread-safe.
 */
public final class Announcer implements Closeable {

    private static final Logger LOG = Logger.getLogger(Announcer.class);
    private static final int TIMEOUT_MS = 800;
    // Two instances beside the first one: enough to get past a loss within the same second.
    private static final int TRIES = 3;

    private final AddressBook addresses;
    private final String key;
    private final LongFunction<EndpointAnnouncement> source;
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
     * @param addresses addresses of the instances
     * @param key bearer key of the service
     * @param source makes the announcement with a sequence number; called once per period
     */
    public Announcer(AddressBook addresses, String key, LongFunction<EndpointAnnouncement> source) {
        this.addresses = addresses;
        this.key = key;
        this.source = source;
    }

    /**
     * Starts announcing.
     *
     * @param periodMs period in milliseconds, positive
     */
    public void start(long periodMs) {
        executor.scheduleAtFixedRate(this::announceSafely, 0, periodMs, TimeUnit.MILLISECONDS);
    }

    private void announceSafely() {
        try {
            announce();
        } catch (RuntimeException e) {
            LOG.warn("SAP4003 announcement failed", e);
        }
    }

    /** Sends one announcement; gives up after three addresses. */
    public void announce() {
        byte[] body = JsonSupport.bytes(source.apply(++sequence));
        for (int i = 0; i < TRIES; i++) {
            String address = addresses.choose();
            try {
                HttpAnswer answer =
                        HttpConnection.call(
                                address,
                                TIMEOUT_MS,
                                "POST",
                                "/v1/announcements",
                                Map.of("Authorization", "Bearer " + key),
                                body);
                if (answer.status() / 100 == 2) {
                    return;
                }
                LOG.debugf("announcement refused by %s: %s", address, answer.text());
            } catch (IOException e) {
                LOG.debugf("announcement to %s failed: %s", address, e.getMessage());
            }
            addresses.failed(address);
        }
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
