package io.sapphirestack.runtime.transport;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.DataInputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against replies that reach the wrong caller and calls that never end. */
@Timeout(180)
class TcpPeerTransportTests {

    private static final String KEY = "cluster key of the test";
    private static final long LONG_MS = 60_000;

    record EchoReply(String text) {}

    @PeerMessage(code = 901, reply = EchoReply.class)
    record Echo(String text) implements PeerRequest<EchoReply> {}

    @PeerMessage(code = 902, reply = EchoReply.class)
    record Held(String text) implements PeerRequest<EchoReply> {}

    private final PeerEventLoop serverLoop = new PeerEventLoop("test-server");
    private final PeerEventLoop clientLoop = new PeerEventLoop("test-client");
    private final PeerHandlers handlers = new PeerHandlers();
    private final TcpPeerServer server = newServer(handlers);
    private final TcpPeerTransport transport =
            new TcpPeerTransport(clientLoop, "127.0.0.1:1", KEY, new PeerHandlers());

    private TcpPeerServer newServer(PeerHandlers served) {
        try {
            return new TcpPeerServer(serverLoop, "127.0.0.1:0", KEY, served);
        } catch (TransportException e) {
            throw new IllegalStateException(e);
        }
    }

    @AfterEach
    void closeAll() {
        server.close();
        clientLoop.close();
        serverLoop.close();
    }

    @Test
    void crossedRepliesReachTheirOwnCalls() throws Exception {
        LinkedBlockingQueue<CompletableFuture<EchoReply>> held = new LinkedBlockingQueue<>();
        handlers.register(Held.class, request -> hold(held, request.text()));
        server.start();

        List<CompletableFuture<EchoReply>> calls =
                IntStream.range(0, 50)
                        .mapToObj(i -> transport.call(server.address(), new Held("r" + i), LONG_MS))
                        .collect(Collectors.toList());
        CompletableFuture<?>[] inOrder = new CompletableFuture<?>[50];
        for (int i = 0; i < 50; i++) {
            inOrder[i] = held.poll(LONG_MS, TimeUnit.MILLISECONDS);
        }
        // The replies leave in the opposite order of the requests.
        for (int i = 49; i >= 0; i--) {
            inOrder[i].complete(null);
        }

        for (int i = 0; i < 50; i++) {
            assertThat(calls.get(i).get(LONG_MS, TimeUnit.MILLISECONDS).text()).isEqualTo("r" + i);
        }
    }

    // The queued future releases the reply, which carries the text of its own request.
    private static CompletableFuture<EchoReply> hold(
            LinkedBlockingQueue<CompletableFuture<EchoReply>> held, String text) {
        CompletableFuture<EchoReply> release = new CompletableFuture<>();
        held.add(release);
        return release.thenApply(ignored -> new EchoReply(text));
    }

    @Test
    void lateReplyAfterATimeoutIsDroppedAndTheConnectionStaysUsable() throws Exception {
        LinkedBlockingQueue<CompletableFuture<EchoReply>> held = new LinkedBlockingQueue<>();
        handlers.register(Held.class, request -> hold(held, request.text()));
        handlers.register(
                Echo.class,
                request -> CompletableFuture.completedFuture(new EchoReply(request.text())));
        server.start();

        CompletableFuture<EchoReply> late = transport.call(server.address(), new Held("late"), 200);
        CompletableFuture<EchoReply> release = held.poll(LONG_MS, TimeUnit.MILLISECONDS);
        // Data that arrives meanwhile keeps the connection, so that the late reply comes on it.
        assertThat(echo("before")).isEqualTo("before");
        TransportException failure = failureOf(late);
        assertThat(failure.step()).isEqualTo("await-reply");
        assertThat(failure.peer()).isEqualTo(server.address());
        assertThat(failure.sent()).isTrue();
        release.complete(null);

        assertThat(echo("after")).isEqualTo("after");
        assertThat(late).isCompletedExceptionally();
    }

    @Test
    void blockedHandlerDelaysNoOtherRequest() throws Exception {
        CountDownLatch block = new CountDownLatch(1);
        handlers.register(
                Held.class,
                request -> {
                    awaitQuietly(block);
                    return CompletableFuture.completedFuture(new EchoReply(request.text()));
                });
        handlers.register(
                Echo.class,
                request -> CompletableFuture.completedFuture(new EchoReply(request.text())));
        server.start();

        CompletableFuture<EchoReply> blocked =
                transport.call(server.address(), new Held("blocked"), LONG_MS);
        assertThat(echo("free")).isEqualTo("free");
        assertThat(blocked).isNotDone();
        block.countDown();
        assertThat(blocked.get(LONG_MS, TimeUnit.MILLISECONDS).text()).isEqualTo("blocked");
    }

    @Test
    void largeMessagesPassWhole() throws Exception {
        handlers.register(
                Echo.class,
                request -> CompletableFuture.completedFuture(new EchoReply(request.text())));
        server.start();
        String large = "0123456789".repeat(700_000);

        assertThat(echo(large)).isEqualTo(large);
    }

    @Test
    void oversizeReplyIsReportedAsErrorAndTheConnectionStaysUsable() throws Exception {
        handlers.register(
                Echo.class,
                request ->
                        CompletableFuture.completedFuture(
                                new EchoReply(request.text().repeat(9_000_000))));
        server.start();

        TransportException failure =
                failureOf(transport.call(server.address(), new Echo("x"), LONG_MS));
        assertThat(failure.step()).isEqualTo("encode");
        assertThat(echo("")).isEmpty();
    }

    @Test
    void failureOfAHandlerCarriesItsStep() throws Exception {
        handlers.register(
                Echo.class,
                request ->
                        CompletableFuture.failedFuture(
                                new TransportException("store", "disk", "full", false, null)));
        handlers.register(
                Held.class,
                request -> {
                    throw new IllegalStateException("broken");
                });
        server.start();

        TransportException failure =
                failureOf(transport.call(server.address(), new Echo("x"), LONG_MS));
        assertThat(failure.step()).isEqualTo("store");
        assertThat(failure.peer()).isEqualTo(server.address());
        assertThat(failure).hasMessageContaining("full").hasMessageContaining("disk");
        assertThat(failureOf(transport.call(server.address(), new Held("x"), LONG_MS)))
                .hasMessageContaining("broken");
    }

    @Test
    void peerWithAnotherClusterKeyIsRefusedOnBothSides() throws Exception {
        handlers.register(
                Echo.class,
                request -> CompletableFuture.completedFuture(new EchoReply(request.text())));
        server.start();
        TcpPeerTransport stranger =
                new TcpPeerTransport(clientLoop, "127.0.0.1:1", "other key", new PeerHandlers());

        TransportException failure =
                failureOf(stranger.call(server.address(), new Echo("x"), LONG_MS));

        assertThat(failure.step()).isEqualTo("connect");
        assertThat(failure.sent()).isFalse();
        assertThat(echo("own")).isEqualTo("own");
    }

    @Test
    void acceptingSideMustProveTheKeyToo() throws Exception {
        // A stranger that accepts every proof and answers with a wrong counter-proof.
        PeerHandshake other = new PeerHandshake("other key");
        try (ServerSocket listener = new ServerSocket(0)) {
            CompletableFuture<Void> fake =
                    CompletableFuture.runAsync(
                            () ->
                                    acceptOne(
                                            listener,
                                            other,
                                            clientNonce ->
                                                    other.serverProof(new byte[32], clientNonce)));
            TransportException failure =
                    failureOf(
                            transport.call(
                                    "127.0.0.1:" + listener.getLocalPort(),
                                    new Echo("secret"),
                                    LONG_MS));
            assertThat(failure.sent()).isFalse();
            assertThat(failure).hasMessageContaining("another cluster key");
            fake.get(LONG_MS, TimeUnit.MILLISECONDS);
        }
    }

    @Test
    void garbageFromAStrangerClosesItsConnectionOnly() throws Exception {
        handlers.register(
                Echo.class,
                request -> CompletableFuture.completedFuture(new EchoReply(request.text())));
        server.start();
        String address = server.address();
        int port = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
        try (Socket socket = new Socket("127.0.0.1", port)) {
            byte[] garbage = new byte[4_096];
            Arrays.fill(garbage, (byte) 0x7f);
            socket.setSoTimeout((int) LONG_MS);
            socket.getOutputStream().write(garbage);
            assertThat(readToEnd(socket)).isTrue();
        }
        assertThat(echo("still here")).isEqualTo("still here");
    }

    private static boolean readToEnd(Socket socket) {
        try {
            return socket.getInputStream().readAllBytes().length >= 0;
        } catch (java.net.SocketTimeoutException e) {
            return false;
        } catch (java.io.IOException e) {
            return true;
        }
    }

    @Test
    void silentConnectionIsReplacedByTheNextCall() throws Exception {
        PeerHandshake handshake = new PeerHandshake(KEY);
        byte[] serverNonce = new byte[32];
        try (ServerSocket listener = new ServerSocket(0)) {
            String address = "127.0.0.1:" + listener.getLocalPort();
            CompletableFuture<Socket> first =
                    CompletableFuture.supplyAsync(
                            () ->
                                    acceptOne(
                                            listener,
                                            handshake,
                                            nonce -> handshake.serverProof(serverNonce, nonce)));
            CompletableFuture<EchoReply> lost = transport.call(address, new Echo("1"), 300);
            CompletableFuture<EchoReply> waiting = transport.call(address, new Echo("2"), LONG_MS);
            try (Socket silent = first.get(LONG_MS, TimeUnit.MILLISECONDS)) {
                assertThat(failureOf(lost).step()).isEqualTo("await-reply");
                // The other call on the silent connection fails at once, not after its own timeout.
                TransportException failure = failureOf(waiting);
                assertThat(failure.step()).isEqualTo("connection");
                assertThat(failure.sent()).isTrue();
                CompletableFuture<Socket> second =
                        CompletableFuture.supplyAsync(
                                () ->
                                        acceptOne(
                                                listener,
                                                handshake,
                                                nonce ->
                                                        handshake.serverProof(
                                                                serverNonce, nonce)));
                transport.call(address, new Echo("3"), 300);
                second.get(LONG_MS, TimeUnit.MILLISECONDS).close();
                assertThat(silent.isClosed()).isFalse();
            }
        }
    }

    @Test
    void refusedConnectIsKnownNotToBeSent() throws Exception {
        int port;
        try (ServerSocket closed = new ServerSocket(0)) {
            port = closed.getLocalPort();
        }
        TransportException failure =
                failureOf(transport.call("127.0.0.1:" + port, new Echo("x"), LONG_MS));
        assertThat(failure.sent()).isFalse();
        assertThat(failure.step()).isEqualTo("connect");
    }

    @Test
    void callToTheOwnAddressIsServedLocally() throws Exception {
        handlers.register(
                Echo.class,
                request -> CompletableFuture.completedFuture(new EchoReply(request.text())));
        TcpPeerTransport own = new TcpPeerTransport(clientLoop, "10.255.255.1:9", KEY, handlers);
        assertThat(own.call("10.255.255.1:9", new Echo("own"), LONG_MS).get().text())
                .isEqualTo("own");
        TransportException failure =
                failureOf(own.call("10.255.255.1:9", new Held("none"), LONG_MS));
        assertThat(failure.step()).isEqualTo("dispatch");
    }

    @Test
    void callAfterCloseFailsInsteadOfWaiting() throws Exception {
        clientLoop.close();
        assertThat(failureOf(transport.call("127.0.0.1:9", new Echo("x"), LONG_MS)).sent())
                .isFalse();
    }

    @Test
    void secondHandlerForACodeIsRefused() {
        handlers.register(Echo.class, request -> new CompletableFuture<>());
        assertThatThrownBy(
                        () -> handlers.register(Echo.class, request -> new CompletableFuture<>()))
                .isInstanceOf(IllegalStateException.class);
    }

    private String echo(String text) throws Exception {
        return transport
                .call(server.address(), new Echo(text), LONG_MS)
                .get(LONG_MS, TimeUnit.MILLISECONDS)
                .text();
    }

    private static TransportException failureOf(CompletableFuture<?> call) throws Exception {
        try {
            call.get(LONG_MS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException e) {
            return (TransportException) e.getCause();
        }
        throw new AssertionError("the call did not fail");
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Plays the accepting side of one handshake with a nonce of zeros. */
    private static Socket acceptOne(
            ServerSocket listener, PeerHandshake handshake, Function<byte[], byte[]> counterProof) {
        try {
            Socket socket = listener.accept();
            DataInputStream in = new DataInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            out.write(handshake.hello(new byte[32]));
            byte[] proof = in.readNBytes(in.readInt());
            out.write(counterProof.apply(Arrays.copyOf(proof, 32)));
            return socket;
        } catch (java.io.IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
