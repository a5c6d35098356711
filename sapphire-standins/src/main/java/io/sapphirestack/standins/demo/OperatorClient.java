package io.sapphirestack.standins.demo;

import com.fasterxml.jackson.databind.JsonNode;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.standins.support.AddressBook;
import io.sapphirestack.standins.support.HttpAnswer;
import io.sapphirestack.standins.support.HttpConnection;
import io.sapphirestack.standins.support.JsonSupport;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.UUID;

/** Operator that changes records over HTTP and resends with the same change id. Thread-safe. */
final class OperatorClient {

    private static final int TIMEOUT_MS = 13_000;
    private static final long LIMIT_MS = 20_000;

    private final AddressBook addresses;
    private final String key;
    private final MillisClock clock;

    OperatorClient(AddressBook addresses, String key, MillisClock clock) {
        this.addresses = addresses;
        this.key = key;
        this.clock = clock;
    }

    /**
     * Creates or replaces a record.
     *
     * @param kind kind of the record
     * @param name name of the record
     * @param expectedRevision revision to replace, 0 to create
     * @param body content
     * @return revision of the change
     * @throws IOException if the change was not accepted in time
     */
    long put(String kind, String name, long expectedRevision, Map<String, ?> body)
            throws IOException {
        Map<String, String> headers = new HashMap<>();
        headers.put("Sapphire-Change-Id", UUID.randomUUID().toString());
        if (expectedRevision == 0) {
            headers.put("If-None-Match", "*");
        } else {
            headers.put("If-Match", "\"" + expectedRevision + "\"");
        }
        byte[] record =
                JsonSupport.bytes(Map.of("schemaVersion", 1, "minimumReader", 1, "body", body));
        HttpAnswer answer = call("PUT", "/admin/v1/records/" + kind + "/" + name, headers, record);
        if (answer.status() != 200) {
            throw new IOException(kind + "/" + name + " was refused: " + answer.text());
        }
        return answer.json().path("revision").asLong();
    }

    /** Waits until a revision is in force everywhere; returns whether it is. */
    boolean inForce(long revision, long timeoutMs) throws IOException {
        String path = "/admin/v1/revision?waitFor=" + revision + "&timeoutMs=" + timeoutMs;
        return call("GET", path, Map.of(), null).json().path("inForce").asBoolean();
    }

    JsonNode fleet() throws IOException {
        return call("GET", "/admin/v1/fleet", Map.of(), null).json();
    }

    private HttpAnswer call(String method, String path, Map<String, String> extra, byte[] body)
            throws IOException {
        Map<String, String> headers = new HashMap<>(extra);
        headers.put("Authorization", "Bearer " + key);
        long untilMs = clock.nowMs() + LIMIT_MS;
        IOException last = new IOException("no address");
        while (clock.nowMs() < untilMs) {
            String address = addresses.choose();
            try {
                HttpAnswer answer =
                        HttpConnection.call(address, TIMEOUT_MS, method, path, headers, body);
                if (answer.status() < 500) {
                    return answer;
                }
                last = new IOException(address + " answered " + answer.text());
            } catch (IOException e) {
                last = e;
            }
            addresses.failed(address);
            Waiting.pause(200);
        }
        throw last;
    }
}
