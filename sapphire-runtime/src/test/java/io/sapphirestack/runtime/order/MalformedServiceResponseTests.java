package io.sapphirestack.runtime.order;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.sapphirestack.core.error.ExecutionState;
import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.id.AccountId;
import io.sapphirestack.core.id.InstanceId;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.core.id.OrderKey;
import io.sapphirestack.core.limit.ByteBudget;
import io.sapphirestack.core.routing.EndpointState;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.blackboard.Blackboard;
import io.sapphirestack.runtime.connection.ResponseShapes;
import io.sapphirestack.runtime.connection.ResponseShapes.Shape;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against responses of plain services that are no HTTP and that callers of the orders and
 * reads of this project get as responses (issue 47). The tests use TCP connections.
 */
@Timeout(60)
class MalformedServiceResponseTests {

    private static final long MEMORY_BYTES = 16L * 1_024 * 1_024;
    private static final long TIMEOUT_MS = 5_000;
    private static final AccountId ACCOUNT = AccountId.of("a");
    private static final String SOUND = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound";

    private final MillisClock clock = MillisClock.monotonic();
    private final HttpPlainConnector connector =
            new HttpPlainConnector(new ByteBudget(MEMORY_BYTES), TIMEOUT_MS);
    private final FakeOrderLedger ledger = new FakeOrderLedger();
    private volatile String firstResponse = "";
    private Server first;
    private Server second;

    /** Plain service that sends one response on each connection and keeps the request lines. */
    private record Server(ServerSocket socket, List<String> requests) {

        static Server start(Supplier<String> response) throws IOException {
            Server server =
                    new Server(
                            new ServerSocket(0, 50, InetAddress.getLoopbackAddress()),
                            new CopyOnWriteArrayList<>());
            Thread thread = new Thread(() -> server.accept(response), "plain-service");
            thread.setDaemon(true);
            thread.start();
            return server;
        }

        private void accept(Supplier<String> response) {
            while (!socket.isClosed()) {
                try (Socket connection = socket.accept()) {
                    serve(connection, response);
                } catch (IOException e) {
                    // The caller has closed its connection, or the test has ended.
                    continue;
                }
            }
        }

        private void serve(Socket connection, Supplier<String> response) throws IOException {
            BufferedReader in =
                    new BufferedReader(
                            new InputStreamReader(
                                    connection.getInputStream(), StandardCharsets.ISO_8859_1));
            requests.add(in.readLine());
            skipFields(in);
            connection
                    .getOutputStream()
                    .write(response.get().getBytes(StandardCharsets.ISO_8859_1));
            connection.shutdownOutput();
            in.read(new char[1_024]);
        }

        private static void skipFields(BufferedReader in) throws IOException {
            String field = in.readLine();
            while (field != null && !field.isEmpty()) {
                field = in.readLine();
            }
        }

        EndpointState state(String id) {
            return OrderFixtures.endpoint(id, "127.0.0.1:" + socket.getLocalPort());
        }
    }

    @BeforeEach
    void start() throws IOException {
        first = Server.start(() -> firstResponse);
        second = Server.start(() -> SOUND);
    }

    @AfterEach
    void stop() throws IOException {
        first.socket().close();
        second.socket().close();
    }

    private List<EndpointState> endpoints() {
        return List.of(first.state("s1"), second.state("s2"));
    }

    private DefaultReadService readService() {
        return new DefaultReadService(
                name -> Optional.of(OrderFixtures.SPEC),
                OrderFixtures.firstOf(endpoints()),
                (endpoint, kind) -> () -> {},
                connector,
                ReadRetryBudget.of(name -> {}, name -> true),
                OrderFixtures.crashMonitor(endpoint -> true),
                Runnable::run,
                WaitStrategy.blocking(clock),
                clock);
    }

    private DefaultOrderService orderService() {
        Blackboard blackboard = Blackboard.create();
        blackboard.self().publish(Optional.of(new InstanceRef(InstanceId.of("i1"), 1)));
        return new DefaultOrderService(
                blackboard,
                OrderFixtures.controlClient(
                        command -> CompletableFuture.completedFuture(ledger.apply(command))),
                name -> Optional.of(OrderFixtures.SPEC),
                OrderFixtures.firstOf(endpoints()),
                (endpoint, kind) -> () -> {},
                connector,
                new OrderRuntime(
                        Runnable::run,
                        (task, delayMs) -> {},
                        WaitStrategy.blocking(clock),
                        OrderFixtures.crashMonitor(endpoint -> true),
                        clock,
                        () -> "n1"));
    }

    static Stream<Shape> someInvalidResponses() {
        return ResponseShapes.sample(
                Stream.concat(ResponseShapes.invalidHeads(), ResponseShapes.invalidChunks()));
    }

    @ParameterizedTest
    @MethodSource("someInvalidResponses")
    void readContinuesAtAnotherEndpoint(Shape shape) throws Exception {
        firstResponse = shape.octets("");

        ServiceResponse response =
                readService().read(ACCOUNT, OrderFixtures.SERVICE, "x", clock.nowMs() + TIMEOUT_MS);

        assertThat(response.body()).asString().isEqualTo("sound");
        assertThat(first.requests()).hasSize(1);
    }

    /** The order may have run, also if the response says that it has not. */
    @ParameterizedTest
    @MethodSource("someInvalidResponses")
    void outcomeOfAnOrderIsUnknown(Shape shape) {
        firstResponse = shape.octets("Sapphire-Run: not-run\r\n");
        OrderRequest request =
                new OrderRequest(
                        new OrderKey(ACCOUNT, OrderFixtures.SERVICE, "k"),
                        "text/plain",
                        new byte[] {1},
                        clock.nowMs() + TIMEOUT_MS);

        assertThatThrownBy(() -> orderService().submit(request))
                .isInstanceOfSatisfying(
                        RefusedException.class,
                        e -> assertThat(e.refusal().executed()).isEqualTo(ExecutionState.UNKNOWN));
        assertThat(second.requests()).noneMatch(line -> line.startsWith("POST"));
    }
}
