import java.io.IOException;
import java.io.OutputStream;

/**
 * Sound model replica: reads one prompt after the other, then sends the events of the streams. It
 * keeps no copies, as its service declares.
 */
final class Engine extends SoundReplica {

    private static final int TOKENS_PER_MS = 8;
    private static final int EVENTS = 40;
    private static final int EVENT_MS = 26;

    private final Object prefill = new Object();

    Engine(Nodes nodes, Journal journal, String id, String service, int number)
            throws IOException {
        super(nodes, journal, id, service, number);
    }

    @Override
    void answer(HttpMessage request, String attempt, OutputStream out) throws IOException {
        try {
            int tokens = Integer.parseInt(request.header("Token-Count", "0,0").split(",")[0]);
            int first = Integer.parseInt(request.header("Last-Event-Id", "0")) + 1;
            synchronized (prefill) {
                Thread.sleep(tokens / TOKENS_PER_MS);
            }
            write(
                    out,
                    "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nReplica-Seal: seal-%s\r\n"
                                    .formatted(attempt, attempt)
                            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (int event = first; event <= EVENTS; event++) {
                String text = "id: %d\ndata: tokens of event %d\n\n".formatted(event, event);
                write(out, "%x\r\n%s\r\n".formatted(text.length(), text));
                out.flush();
                Thread.sleep(EVENT_MS);
            }
            write(out, "0\r\n\r\n");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("the engine ends", e);
        }
    }
}
