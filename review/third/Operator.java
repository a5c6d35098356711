import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Stand-in of the operator: sends a configuration again, to one machine after another. */
final class Operator {

    private static final int TIMEOUT_MS = 1_000;
    private static final int FIRST_PAUSE_MS = 100;
    private static final int MAX_PAUSE_MS = 800;

    private final Record record;

    Operator(Record record) {
        this.record = record;
    }

    /**
     * Sends a configuration until it is acknowledged or refused, or the time is over.
     *
     * @return status of the response that ended the call, empty if there was none in time
     */
    Optional<Integer> put(List<String> machines, String text, long forMs)
            throws InterruptedException {
        long endNanos = System.nanoTime() + forMs * 1_000_000;
        int pauseMs = FIRST_PAUSE_MS;
        for (int i = 0; System.nanoTime() < endNanos; i++) {
            String machine = machines.get(i % machines.size());
            Optional<Message> response =
                    Calls.call(
                            machine,
                            "PUT",
                            "/config",
                            Map.of("Host", machine, "Content-Type", "application/json"),
                            text.getBytes(StandardCharsets.UTF_8),
                            TIMEOUT_MS);
            record.line(
                    "operator: PUT /config at %s -> %s",
                    machine, response.map(r -> "" + r.status()).orElse("no response"));
            Optional<Integer> status = response.map(Message::status).filter(s -> s < 500);
            if (status.isPresent()) {
                return status;
            }
            Thread.sleep(pauseMs);
            pauseMs = Math.min(MAX_PAUSE_MS, 2 * pauseMs);
        }
        return Optional.empty();
    }
}
