package io.sapphirestack.runtime.relay;

import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.membership.EndpointLoad;
import io.sapphirestack.core.membership.EndpointPhase;
import io.sapphirestack.core.routing.EndpointState;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.InterruptedIOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Function;

/** Endpoint whose responses a test writes byte by byte. */
final class ScriptedEndpoint implements AutoCloseable {

    private final ServerSocket server;
    private final Thread acceptThread;
    private final String id;
    private String version = "";
    private volatile boolean readsBodies = true;
    private final String availabilityZone;
    private final Script script;
    private final List<Socket> accepted = new CopyOnWriteArrayList<>();
    private final List<Received> received = new CopyOnWriteArrayList<>();

    /** Request as it arrived. */
    record Received(String line, Map<String, String> headers, String body) {}

    /** Writes the response; an exception closes the connection. */
    @FunctionalInterface
    interface Script {
        void respond(Received request, Socket socket, OutputStream out) throws Exception;
    }

    ScriptedEndpoint(String id, String availabilityZone, Script script) throws IOException {
        this.id = id;
        this.availabilityZone = availabilityZone;
        this.script = script;
        this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        this.acceptThread = start(this::accept);
    }

    /** Creates an endpoint that sends the same bytes in response to each request. */
    static ScriptedEndpoint responding(
            String id, String availabilityZone, Function<Received, String> response)
            throws IOException {
        return new ScriptedEndpoint(
                id,
                availabilityZone,
                (request, socket, out) -> write(out, response.apply(request)));
    }

    /** Creates an endpoint that accepts connections and never reads from them. */
    static ScriptedEndpoint notReading(String id) throws IOException {
        return notReading(id, "z1");
    }

    /** Creates an endpoint of an availability zone that accepts connections and never reads. */
    static ScriptedEndpoint notReading(String id, String availabilityZone) throws IOException {
        return new ScriptedEndpoint(id, availabilityZone, null);
    }

    private static Thread start(Runnable task) {
        Thread thread = new Thread(task, "scripted-endpoint");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Sets the version of the software; called before the endpoint is known to a relay. */
    ScriptedEndpoint withVersion(String text) {
        version = text;
        return this;
    }

    /** Makes the script run before the body of a request is read; its text is then empty. */
    ScriptedEndpoint respondingBeforeTheBody() {
        readsBodies = false;
        return this;
    }

    EndpointState state() {
        return new EndpointState(
                EndpointId.of(id),
                "scribe",
                "127.0.0.1:" + server.getLocalPort(),
                availabilityZone,
                1,
                Set.of(),
                new EndpointLoad(0, 0, 8, 0),
                EndpointPhase.SERVING,
                0,
                version);
    }

    List<Received> received() {
        return received;
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                if (script == null) {
                    accepted.add(socket);
                } else {
                    start(() -> serve(socket));
                }
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedReader in =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.ISO_8859_1));
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                Received request = read(line, in);
                received.add(request);
                script.respond(request, socket, socket.getOutputStream());
                socket.getOutputStream().flush();
            }
        } catch (Exception e) {
            // Scripts throw to close the connection; a request that is cut off ends it as well.
            return;
        }
    }

    private Received read(String line, BufferedReader in) throws IOException {
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String field = in.readLine(); !field.isEmpty(); field = in.readLine()) {
            int colon = field.indexOf(':');
            headers.put(field.substring(0, colon), field.substring(colon + 1).trim());
        }
        if (!readsBodies) {
            return new Received(line, headers, "");
        }
        char[] body = new char[Integer.parseInt(headers.getOrDefault("Content-Length", "0"))];
        for (int read = 0; read < body.length; ) {
            read += in.read(body, read, body.length - read);
        }
        return new Received(line, headers, new String(body));
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** Returns a complete response to a request. */
    static String response(Received request, int status, String fields, String body) {
        return "HTTP/1.1 "
                + status
                + " X\r\nSapphire-Request-Id: "
                + request.headers().getOrDefault("Sapphire-Request-Id", "")
                + "\r\n"
                + fields
                + "Content-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    /** Returns the head of a stream of server-sent events. */
    static String streamHeader(Received request, String seal) {
        return "HTTP/1.1 200 OK\r\nSapphire-Request-Id: "
                + request.headers().get("Sapphire-Request-Id")
                + "\r\nSapphire-Seal: "
                + seal
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    }

    /** Returns one event as an HTTP chunk. */
    static String event(long number) {
        String event = "id: " + number + "\ndata: e" + number + "\n\n";
        return Integer.toHexString(event.length()) + "\r\n" + event + "\r\n";
    }

    /** Closes the listener; it refuses connections when this method returns. */
    @Override
    public void close() throws IOException {
        server.close();
        awaitAcceptEnd();
        for (Socket socket : accepted) {
            socket.close();
        }
    }

    /** A blocked accept keeps the listener open until its thread has run again. */
    private void awaitAcceptEnd() throws IOException {
        try {
            acceptThread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException("interrupted while the listener was closed");
        }
    }
}
