import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;

/** Stand-in of a client that sends requests which may run at most once. */
final class Client {

    private static final int DEADLINE_MS = 1_000;
    private static final int TIMEOUT_MS = 3_000;

    private final Record record;

    Client(Record record) {
        this.record = record;
    }

    /** Request that was sent, with its response if there was one. */
    record Sent(String requestId, String target, String key, Optional<Message> response) {

        int status() {
            return response.map(Message::status).orElse(0);
        }
    }

    /** Sends one request with a new identifier over a new connection. */
    Sent post(String front, String target, String key) {
        String id = "%016x".formatted(ThreadLocalRandom.current().nextLong());
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("Host", Configurations.HOST);
        fields.put("Attempt-Id", id);
        fields.put("Deadline-Ms", "" + DEADLINE_MS);
        fields.put("X-Api-Key", key);
        byte[] body = ("order " + id).getBytes(StandardCharsets.UTF_8);
        Optional<Message> response =
                Calls.call(front, "POST", target, fields, body, TIMEOUT_MS);
        record.line(
                "client: POST %s, id %s, key %s, at %s -> %s",
                target, id, key, front, response.map(Message::startLine).orElse("no response"));
        return new Sent(id, target, key, response);
    }
}
