package io.sapphirestack.runtime.connection;

import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.runtime.http.TrackedServerSocket;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against connections that use up the direct memory of the process: the JDK keeps a direct
 * buffer of up to 128 KB for each thread that once read or wrote as much at a socket. 128 such
 * threads left none for the writes of the voter.
 */
@Timeout(60)
class TrackedSocketTests {

    /** More than the socket buffers of both sides take. */
    private static final int UNREAD_BYTES = 32 * 1024 * 1024;

    /** Longer than a pause between two parts that the socket buffers take. */
    private static final long UNREAD_MS = 500;

    private static final int THREADS = 40;
    private static final int MESSAGE_BYTES = 1_000_000;
    private static final long MAX_BYTES_PER_THREAD = 8 * 1024;

    /** Use of a socket by its thread. */
    enum Use {
        READ {
            @Override
            void run(TrackedSocket own, Socket peer) throws Exception {
                Thread sender = new Thread(() -> write(peer, message()));
                sender.start();
                assertThat(own.getInputStream().readNBytes(MESSAGE_BYTES)).isEqualTo(message());
                sender.join();
            }
        },
        WRITE {
            @Override
            void run(TrackedSocket own, Socket peer) throws Exception {
                FutureTask<byte[]> received =
                        new FutureTask<>(() -> peer.getInputStream().readNBytes(MESSAGE_BYTES));
                Thread receiver = new Thread(received);
                receiver.start();
                write(own, message());
                assertThat(received.get()).isEqualTo(message());
                receiver.join();
            }
        };

        abstract void run(TrackedSocket own, Socket peer) throws Exception;
    }

    @ParameterizedTest
    @EnumSource
    void longMessagesLeaveSmallBuffersBehind(Use use) throws Exception {
        CountDownLatch finish = new CountDownLatch(1);
        CountDownLatch used = new CountDownLatch(THREADS);
        ExecutorService threads = Executors.newFixedThreadPool(THREADS);
        List<Future<?>> results = new ArrayList<>();
        try (TrackedServerSocket server = TrackedServerSocket.bind("127.0.0.1:0")) {
            long before = DirectMemory.usedBytes();
            for (int i = 0; i < THREADS; i++) {
                Socket peer = new Socket(server.getInetAddress(), server.getLocalPort());
                TrackedSocket own = server.accept();
                results.add(
                        threads.submit(
                                () -> {
                                    try (own;
                                            peer) {
                                        use.run(own, peer);
                                    } finally {
                                        used.countDown();
                                    }
                                    return finish.await(60, TimeUnit.SECONDS);
                                }));
            }
            assertThat(used.await(40, TimeUnit.SECONDS)).isTrue();

            assertThat(DirectMemory.usedBytes() - before)
                    .isLessThanOrEqualTo(THREADS * MAX_BYTES_PER_THREAD);
            finish.countDown();
            for (Future<?> result : results) {
                result.get();
            }
        } finally {
            threads.shutdownNow();
        }
    }

    private static byte[] message() {
        byte[] message = new byte[MESSAGE_BYTES];
        for (int i = 0; i < message.length; i++) {
            message[i] = (byte) (i * 31 >> 3);
        }
        return message;
    }

    private static void write(Socket socket, byte[] message) {
        try {
            socket.getOutputStream().write(message);
        } catch (IOException e) {
            throw new IllegalStateException("the message cannot be sent", e);
        }
    }

    /** A caller that reads nothing held its response and the thread of its connection. */
    @Test
    void writeThatThePeerDoesNotReadIsMeasured() throws Exception {
        try (TrackedServerSocket server = TrackedServerSocket.bind("127.0.0.1:0");
                Socket peer = new Socket(server.getInetAddress(), server.getLocalPort());
                TrackedSocket own = server.accept()) {
            CompletableFuture<Void> sent =
                    CompletableFuture.runAsync(() -> write(own, new byte[UNREAD_BYTES]));
            long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
            while (own.unreadMs() < UNREAD_MS && System.nanoTime() < endNs) {
                Thread.onSpinWait();
            }
            assertThat(own.unreadMs()).isGreaterThanOrEqualTo(UNREAD_MS);
            assertThat(sent).isNotDone();
            peer.getInputStream().readNBytes(UNREAD_BYTES);
            sent.get(20, TimeUnit.SECONDS);
            assertThat(own.unreadMs()).isZero();
        }
    }
}
