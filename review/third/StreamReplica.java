import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/**
 * Stand-in of a sound replica that answers with a stream of events. Their ids increase; each is the
 * time of its piece in nanoseconds. A request with {@code Last-Event-Id} goes on after that event.
 */
final class StreamReplica extends Replica {

    static final int EVENTS = 40;
    private static final long FIRST_ID = 1_765_140_000_000_000_000L;
    private static final long ID_STEP = 50_000_000;
    private static final long PAUSE_MS = 50;

    private volatile int sentEvents;

    StreamReplica(
            Record record,
            String service,
            String id,
            String ip,
            String zone,
            List<String> controlAddresses)
            throws IOException {
        super(record, service, id, ip, zone, controlAddresses);
    }

    /** Returns the id of an event; the first one has the number 1. */
    static long idOf(int number) {
        return FIRST_ID + number * ID_STEP;
    }

    /** Returns the text of an event, which is the same at each replica. */
    static String eventOf(String requestId, int number) {
        return "id: %d\ndata: piece %d of %s\n\n".formatted(idOf(number), number, requestId);
    }

    int sentEvents() {
        return sentEvents;
    }

    @Override
    protected void run(Message request, Map<String, String> fields, OutputStream out)
            throws IOException {
        String requestId = request.field("Attempt-Id");
        String lastId = request.field("Last-Event-Id");
        int first = lastId.isEmpty() ? 1 : numberAfter(Long.parseLong(lastId));
        record.line(
                "replica %s: the stream of %s begins with piece %d (Last-Event-Id: %s)",
                id(), requestId, first, lastId.isEmpty() ? "none" : lastId);
        StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
        fields.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
        head.append("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        for (int number = first; number <= EVENTS; number++) {
            writeChunk(out, eventOf(requestId, number));
            sentEvents = number;
            sleep();
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    private static int numberAfter(long lastId) {
        return (int) ((lastId - FIRST_ID) / ID_STEP) + 1;
    }

    private static void writeChunk(OutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.UTF_8));
        out.write(bytes);
        out.write("\r\n".getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private static void sleep() throws IOException {
        try {
            Thread.sleep(PAUSE_MS);
        } catch (InterruptedException e) {
            throw new IOException("interrupted", e);
        }
    }
}
