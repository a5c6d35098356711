package io.sapphirestack.runtime.transport;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.DataInputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against replies that complete the wrong call when they arrive out of order or after a
 * timeout, against calls that never complete, and against peers without the cluster key.
 */
@Timeout(180)
class TcpPeerTransportTests {

    private static final String CLUSTER_KEY = "cluster key of the test";
    private static final long TEST_TIMEOUT_MS = 60_000;
    private static final int SLOW_READ_BYTES = 64 * 1024;
    private static final long SLOW_READ_INTERVAL_NANOS = 20_000_000;

    record EchoReply(String text) {}

    @PeerMessage(code = 901, reply = EchoReply.class)
    record EchoRequest(String text) implements PeerRequest<EchoReply> {}

    @PeerMessage(code = 902, reply = EchoReply.class)
    record DelayedRequest(String text) implements PeerRequest<EchoReply> {}

    private final PeerEventLoop serverLoop = new PeerEventLoop("test-server");
    private final PeerEventLoop clientLoop = new PeerEventLoop("test-client");
    private final PeerRequestDispatcher handlers = new PeerRequestDispatcher();
    private final TcpPeerServer server = newServer(handlers);
    private final TcpPeerTransport transport =
            new TcpPeerTransport(
                    clientLoop, "127.0.0.1:1", CLUSTER_KEY, new PeerRequestDispatcher());

    private TcpPeerServer newServer(PeerRequestDispatcher handlersOfServer) {
        try {
            return new TcpPeerServer(serverLoop, "127.0.0.1:0", CLUSTER_KEY, handlersOfServer);
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
    void repliesInReverseOrderCompleteTheirOwnCalls() throws Exception {
        LinkedBlockingQueue<CompletableFuture<EchoReply>> releases = new LinkedBlockingQueue<>();
        handlers.register(
                DelayedRequest.class, request -> replyOnRelease(releases, request.text()));
        server.start();

        List<CompletableFuture<EchoReply>> calls =
                IntStream.range(0, 50)
                        .mapToObj(
                                i ->
                                        transport.call(
                                                server.address(),
                                                new DelayedRequest("r" + i),
                                                TEST_TIMEOUT_MS))
                        .collect(Collectors.toList());
        CompletableFuture<?>[] releasesInOrder = new CompletableFuture<?>[50];
        for (int i = 0; i < 50; i++) {
            releasesInOrder[i] = releases.poll(TEST_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }
        // The replies are sent in the reverse order of the requests.
        for (int i = 49; i >= 0; i--) {
            releasesInOrder[i].complete(null);
        }

        for (int i = 0; i < 50; i++) {
            assertThat(calls.get(i).get(TEST_TIMEOUT_MS, TimeUnit.MILLISECONDS).text())
                    .isEqualTo("r" + i);
        }
    }

    /** An error in one task must not end the loop, which serves all connections of an instance. */
    @Test
    void loopServesConnectionsAfterTasksThatFailed() throws Exception {
        handlers.register(
                EchoRequest.class,
                request -> CompletableFuture.completedFuture(new EchoReply(request.text())));
        server.start();
        for (PeerEventLoop loop : List.of(serverLoop, clientLoop)) {
            loop.execute(
                    () ->
                            loop.schedule(
                                    0,
                                    () -> {
                                        throw new OutOfMemoryError("simulated in a timer");
                                    }));
            loop.execute(
                    () -> {
                        throw new StackOverflowError("simulated in a task");
                    });
        }

        assertThat(echo("after the failures")).isEqualTo("after the failures");
    }

    // Completing the queued future sends the reply, which contains the text of its own request.
    private static CompletableFuture<EchoReply> replyOnRelease(
            LinkedBlockingQueue<CompletableFuture<EchoReply>> releases, String text) {
        CompletableFuture<EchoReply> release = new CompletableFuture<>();
        releases.add(release);
        return release.thenApply(ignored -> new EchoReply(text));
    }

    @Test
    void replyAfterATimeoutIsDiscardedAndTheConnectionStaysUsable() throws Exception {
        LinkedBlockingQueue<CompletableFuture<EchoReply>> releases = new LinkedBlockingQueue<>();
        handlers.register(
                DelayedRequest.class, request -> replyOnRelease(releases, request.text()));
        handlers.register(
                EchoRequest.class,
                request -> CompletableFuture.completedFuture(new EchoReply(request.text())));
        server.start();

        CompletableFuture<EchoReply> late =
                transport.call(server.address(), new DelayedRequest("late"), 200);
        CompletableFuture<EchoReply> release =
                releases.poll(TEST_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        // Another reply meanwhile keeps the connection open, so that the late reply arrives on it.
        assertThat(echo("before")).isEqualTo("before");
        TransportException failure = failureOf(late);
        assertThat(failure.step()).isEqualTo("await-reply");
        assertThat(failure.peer()).isEqualTo(server.address());
        assertThat(failure.maybeSent()).isTrue();
        release.complete(null);

        assertThat(echo("after")).isEqualTo("after");
        assertThat(late).isCompletedExceptionally();
    }

    @Test
    void blockedHandlerDoesNotDelayRequestsOfOtherTypes() throws Exception {
        CountDownLatch block = new CountDownLatch(1);
        handlers.register(
                DelayedRequest.class,
                request -> {
                    awaitQuietly(block);
                    return CompletableFuture.completedFuture(new EchoReply(request.text()));
                });
        handlers.register(
                EchoRequest.class,
                request -> CompletableFuture.completedFuture(new EchoReply(request.text())));
        server.start();

        CompletableFuture<EchoReply> blocked =
                transport.call(server.address(), new DelayedRequest("blocked"), TEST_TIMEOUT_MS);
        assertThat(echo("free")).isEqualTo("free");
        assertThat(blocked).isNotDone();
        block.countDown();
        assertThat(blocked.get(TEST_TIMEOUT_MS, TimeUnit.MILLISECONDS).text()).isEqualTo("blocked");
    }

    @Test
    void largeMessageIsTransferredCompletely() throws Exception {
        handlers.register(
                EchoRequest.class,
                request -> CompletableFuture.completedFuture(new EchoReply(request.text())));
        server.start();
        String large = "0123456789".repeat(700_000);

        assertThat(echo(large)).isEqualTo(large);
    }

    @Test
    void replyAboveTheFrameLimitIsReportedAsErrorAndTheConnectionStaysUsable() throws Exception {
        handlers.register(
                EchoRequest.class,
                request ->
                        CompletableFuture.completedFuture(
                                new EchoReply(request.text().repeat(9_000_000))));
        server.start();

        TransportException failure =
                failureOf(transport.call(server.address(), new EchoRequest("x"), TEST_TIMEOUT_MS));
        assertThat(failure.step()).isEqualTo("encode");
        assertThat(echo("")).isEmpty();
    }

    @Test
    void failureOfAHandlerIsReportedWithItsStep() throws Exception {
        handlers.register(
                EchoRequest.class,
                request ->
                        CompletableFuture.failedFuture(
                                new TransportException("store", "disk", "full", false, null)));
        handlers.register(
                DelayedRequest.class,
                request -> {
                    throw new IllegalStateException("broken");
                });
        server.start();

        TransportException failure =
                failureOf(transport.call(server.address(), new EchoRequest("x"), TEST_TIMEOUT_MS));
        assertThat(failure.step()).isEqualTo("store");
        assertThat(failure.peer()).isEqualTo(server.address());
        assertThat(failure).hasMessageContaining("full").hasMessageContaining("disk");
        assertThat(
                        failureOf(
                                transport.call(
                                        server.address(),
                                        new DelayedRequest("x"),
                                        TEST_TIMEOUT_MS)))
                .hasMessageContaining("broken");
    }

    @Test
    void peerWithAnotherClusterKeyIsRejected() throws Exception {
        handlers.register(
                EchoRequest.class,
                request -> CompletableFuture.completedFuture(new EchoReply(request.text())));
        server.start();
        TcpPeerTransport transportWithOtherKey =
                new TcpPeerTransport(
                        clientLoop, "127.0.0.1:1", "other key", new PeerRequestDispatcher());

        TransportException failure =
                failureOf(
                        transportWithOtherKey.call(
                                server.address(), new EchoRequest("x"), TEST_TIMEOUT_MS));

        assertThat(failure.step()).isEqualTo("connect");
        assertThat(failure.maybeSent()).isFalse();
        assertThat(echo("own")).isEqualTo("own");
    }

    @Test
    void acceptingSideMustProveTheClusterKey() throws Exception {
        // A server that accepts every client proof and responds with a wrong server proof.
        PeerHandshake otherKeyHandshake = new PeerHandshake("other key");
        try (ServerSocket listener = new ServerSocket(0)) {
            CompletableFuture<Void> serverWithOtherKey =
                    CompletableFuture.runAsync(
                            () ->
                                    acceptHandshake(
                                            listener,
                                            otherKeyHandshake,
                                            clientNonce ->
                                                    otherKeyHandshake.serverProof(
                                                            new byte[32], clientNonce)));
            TransportException failure =
                    failureOf(
                            transport.call(
                                    "127.0.0.1:" + listener.getLocalPort(),
                                    new EchoRequest("secret"),
                                    TEST_TIMEOUT_MS));
            assertThat(failure.maybeSent()).isFalse();
            assertThat(failure).hasMessageContaining("another cluster key");
            serverWithOtherKey.get(TEST_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }
    }

    @Test
    void malformedHandshakeClosesOnlyItsConnection() throws Exception {
        handlers.register(
                EchoRequest.class,
                request -> CompletableFuture.completedFuture(new EchoReply(request.text())));
        server.start();
        String address = server.address();
        int port = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
        try (Socket socket = new Socket("127.0.0.1", port)) {
            byte[] malformed = new byte[4_096];
            Arrays.fill(malformed, (byte) 0x7f);
            socket.setSoTimeout((int) TEST_TIMEOUT_MS);
            socket.getOutputStream().write(malformed);
            assertThat(connectionIsClosed(socket)).isTrue();
        }
        assertThat(echo("still here")).isEqualTo("still here");
    }

    private static boolean connectionIsClosed(Socket socket) {
        try {
            return socket.getInputStream().readAllBytes().length >= 0;
        } catch (java.net.SocketTimeoutException e) {
            return false;
        } catch (java.io.IOException e) {
            return true;
        }
    }

    @Test
    void connectionWithoutDataIsReplacedByTheNextCall() throws Exception {
        PeerHandshake handshake = new PeerHandshake(CLUSTER_KEY);
        byte[] serverNonce = new byte[32];
        try (ServerSocket listener = new ServerSocket(0)) {
            String address = "127.0.0.1:" + listener.getLocalPort();
            CompletableFuture<Socket> first =
                    CompletableFuture.supplyAsync(
                            () ->
                                    acceptHandshake(
                                            listener,
                                            handshake,
                                            nonce -> handshake.serverProof(serverNonce, nonce)));
            CompletableFuture<EchoReply> timedOut =
                    transport.call(address, new EchoRequest("1"), 300);
            CompletableFuture<EchoReply> waiting =
                    transport.call(address, new EchoRequest("2"), TEST_TIMEOUT_MS);
            try (Socket firstConnection = first.get(TEST_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
                assertThat(failureOf(timedOut).step()).isEqualTo("await-reply");
                // The other call on this connection fails with it, before its own timeout.
                TransportException failure = failureOf(waiting);
                assertThat(failure.step()).isEqualTo("connection");
                assertThat(failure.maybeSent()).isTrue();
                CompletableFuture<Socket> second =
                        CompletableFuture.supplyAsync(
                                () ->
                                        acceptHandshake(
                                                listener,
                                                handshake,
                                                nonce ->
                                                        handshake.serverProof(serverNonce, nonce)));
                transport.call(address, new EchoRequest("3"), 300);
                second.get(TEST_TIMEOUT_MS, TimeUnit.MILLISECONDS).close();
                assertThat(firstConnection.isClosed()).isFalse();
            }
        }
    }

    /**
     * Guards against closing a connection in the middle of a large message because a small one
     * behind it got no reply in time: the large one was then sent again from its start (review/6).
     */
    @Test
    void connectionThatIsBusyWithALargeMessageStaysOpen() throws Exception {
        PeerHandshake handshake = new PeerHandshake(CLUSTER_KEY);
        byte[] serverNonce = new byte[32];
        try (ServerSocket listener = new ServerSocket()) {
            listener.setReceiveBufferSize(SLOW_READ_BYTES);
            listener.bind(new InetSocketAddress("127.0.0.1", 0));
            String address = "127.0.0.1:" + listener.getLocalPort();
            CompletableFuture<Socket> accepted =
                    CompletableFuture.supplyAsync(
                            () ->
                                    acceptHandshake(
                                            listener,
                                            handshake,
                                            nonce -> handshake.serverProof(serverNonce, nonce)));
            CompletableFuture<EchoReply> large =
                    transport.call(
                            address, new EchoRequest("x".repeat(7_000_000)), TEST_TIMEOUT_MS);
            CompletableFuture<EchoReply> small =
                    transport.call(address, new EchoRequest("1"), 1_000);
            try (Socket socket = accepted.get(TEST_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
                int received = 0;
                while (!small.isDone()) {
                    received += socket.getInputStream().readNBytes(SLOW_READ_BYTES).length;
                    LockSupport.parkNanos(SLOW_READ_INTERVAL_NANOS);
                }
                assertThat(failureOf(small).step()).isEqualTo("await-reply");
                assertThat(received).isLessThan(7_000_000);
                int rest = 7_000_000 - received;
                assertThat(socket.getInputStream().readNBytes(rest)).hasSize(rest);
                assertThat(large).isNotDone();
            }
        }
    }

    @Test
    void callIsNotSentIfTheConnectIsRefused() throws Exception {
        int port;
        try (ServerSocket closed = new ServerSocket(0)) {
            port = closed.getLocalPort();
        }
        TransportException failure =
                failureOf(
                        transport.call("127.0.0.1:" + port, new EchoRequest("x"), TEST_TIMEOUT_MS));
        assertThat(failure.maybeSent()).isFalse();
        assertThat(failure.step()).isEqualTo("connect");
    }

    @Test
    void callToTheOwnAddressIsHandledLocally() throws Exception {
        handlers.register(
                EchoRequest.class,
                request -> CompletableFuture.completedFuture(new EchoReply(request.text())));
        TcpPeerTransport localTransport =
                new TcpPeerTransport(clientLoop, "10.255.255.1:9", CLUSTER_KEY, handlers);
        assertThat(
                        localTransport
                                .call("10.255.255.1:9", new EchoRequest("own"), TEST_TIMEOUT_MS)
                                .get()
                                .text())
                .isEqualTo("own");
        TransportException failure =
                failureOf(
                        localTransport.call(
                                "10.255.255.1:9", new DelayedRequest("none"), TEST_TIMEOUT_MS));
        assertThat(failure.step()).isEqualTo("dispatch");
    }

    @Test
    void callAfterCloseFails() throws Exception {
        clientLoop.close();
        assertThat(
                        failureOf(
                                        transport.call(
                                                "127.0.0.1:9",
                                                new EchoRequest("x"),
                                                TEST_TIMEOUT_MS))
                                .maybeSent())
                .isFalse();
    }

    @Test
    void secondHandlerForACodeIsRejected() {
        handlers.register(EchoRequest.class, request -> new CompletableFuture<>());
        assertThatThrownBy(
                        () ->
                                handlers.register(
                                        EchoRequest.class, request -> new CompletableFuture<>()))
                .isInstanceOf(IllegalStateException.class);
    }

    private String echo(String text) throws Exception {
        return transport
                .call(server.address(), new EchoRequest(text), TEST_TIMEOUT_MS)
                .get(TEST_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .text();
    }

    private static TransportException failureOf(CompletableFuture<?> call) throws Exception {
        try {
            call.get(TEST_TIMEOUT_MS, TimeUnit.MILLISECONDS);
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

    /** Accepts one connection and performs the server side of the handshake with a zero nonce. */
    private static Socket acceptHandshake(
            ServerSocket listener, PeerHandshake handshake, Function<byte[], byte[]> serverProof) {
        try {
            Socket socket = listener.accept();
            DataInputStream in = new DataInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            out.write(handshake.hello(new byte[32]));
            byte[] proof = in.readNBytes(in.readInt());
            out.write(serverProof.apply(Arrays.copyOf(proof, 32)));
            return socket;
        } catch (java.io.IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
