package io.sapphirestack.runtime.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Sends random corruptions of a valid response through the real listener and connection pool.
 * Guards against a caller that receives the response of another, a truncated body as complete, or a
 * false statement that its order did not run. {@code -Dsapphire.fuzz.seeds=N} plays more seeds.
 */
@Timeout(600)
class ResponseFuzzTests {

    private static final int ORDERS_PER_SEED = 6;
    private static final int DEADLINE_MS = 500;
    private static final int OVERRUN_MS = 500;

    /** Ways to corrupt the bytes of a response. */
    private enum Corruption {
        NONE,
        CUT,
        REPEAT_RESPONSE,
        REPEAT_RANGE,
        REMOVE_RANGE,
        INSERT_BYTES,
        CHANGE_BYTE,
        INTERIM_HEAD,
        TRICKLE;

        /** Whether the body itself may arrive changed, which no recipient can detect. */
        private boolean mayChangeBody() {
            return this == REPEAT_RANGE
                    || this == REMOVE_RANGE
                    || this == INSERT_BYTES
                    || this == CHANGE_BYTE;
        }
    }

    static LongStream seeds() {
        return LongStream.range(0, Long.getLong("sapphire.fuzz.seeds", 1));
    }

    private static byte[] validResponse(ScriptedEndpoint.Received request, boolean chunked) {
        String body = "body of " + request.body() + "\r\n\r\nHTTP/1.1 200 OK\r\n";
        String response = ScriptedEndpoint.response(request, 200, "Sapphire-Seal: s\r\n", body);
        if (chunked) {
            int split = body.length() / 2;
            response =
                    response.replaceFirst("Content-Length: [0-9]+", "Transfer-Encoding: chunked")
                                    .replace(body, chunk(body.substring(0, split)))
                            + chunk(body.substring(split))
                            + "0\r\n\r\n";
        }
        return response.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static byte[] corrupt(byte[] valid, Corruption corruption, SplittableRandom random) {
        int from = random.nextInt(valid.length);
        int to = from + random.nextInt(valid.length - from + 1);
        return switch (corruption) {
            case CUT -> Arrays.copyOf(valid, from);
            case REPEAT_RESPONSE -> join(valid, valid);
            case REPEAT_RANGE ->
                    join(Arrays.copyOf(valid, to), Arrays.copyOfRange(valid, from, valid.length));
            case REMOVE_RANGE ->
                    join(Arrays.copyOf(valid, from), Arrays.copyOfRange(valid, to, valid.length));
            case INSERT_BYTES ->
                    join(
                            join(Arrays.copyOf(valid, from), randomBytes(random)),
                            Arrays.copyOfRange(valid, from, valid.length));
            case CHANGE_BYTE -> {
                byte[] changed = valid.clone();
                changed[from] = (byte) random.nextInt(256);
                yield changed;
            }
            case INTERIM_HEAD ->
                    join(
                            "HTTP/1.1 102 Processing\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1),
                            valid);
            default -> valid;
        };
    }

    private static byte[] randomBytes(SplittableRandom random) {
        byte[] bytes = new byte[1 + random.nextInt(40)];
        random.nextBytes(bytes);
        return bytes;
    }

    private static byte[] join(byte[] first, byte[] second) {
        byte[] joined = Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, joined, first.length, second.length);
        return joined;
    }

    private static void send(
            OutputStream out, byte[] bytes, Corruption corruption, SplittableRandom random)
            throws IOException, InterruptedException {
        if (corruption != Corruption.TRICKLE) {
            out.write(bytes);
            return;
        }
        for (int i = 0; i < bytes.length; ) {
            int length = Math.min(bytes.length - i, 1 + random.nextInt(40));
            out.write(bytes, i, length);
            out.flush();
            i += length;
            Thread.currentThread().join(1);
        }
    }

    /** Returns a name that no corruption of a few bytes turns into that of another order. */
    private static String orderName(long seed, int number) {
        long token = new SplittableRandom(seed * 17 + number).nextLong();
        return "o" + number + "-" + Long.toHexString(token);
    }

    /** Corruption of one order, chosen by the seed and the name of the order. */
    private static Corruption corruptionOf(long seed, String order) {
        Corruption[] all = Corruption.values();
        // Every second order is not corrupted, so that it can show harm done by the one before.
        int number = Integer.parseInt(order.substring(1, order.indexOf('-')));
        return number % 2 == 1
                ? Corruption.NONE
                : all[new SplittableRandom(seed * 31 + number).nextInt(all.length)];
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void corruptedResponseHarmsOnlyItsOwnOrder(long seed) throws Exception {
        SplittableRandom random = new SplittableRandom(seed);
        boolean chunked = random.nextBoolean();
        try (ScriptedEndpoint endpoint =
                        new ScriptedEndpoint(
                                "e1",
                                "z1",
                                (request, socket, out) -> {
                                    Corruption corruption = corruptionOf(seed, request.body());
                                    byte[] valid = validResponse(request, chunked);
                                    byte[] sent = corrupt(valid, corruption, random.split());
                                    send(out, sent, corruption, random.split());
                                    if (corruption == Corruption.CUT) {
                                        throw new IOException("connection closed");
                                    }
                                });
                RelayTestBed testBed = new RelayTestBed(endpoint).withTrafficPlan()) {
            for (int i : IntStream.range(0, ORDERS_PER_SEED).toArray()) {
                String order = orderName(seed, i);
                long startedAtMs = System.nanoTime() / 1_000_000;
                String response =
                        testBed.call(
                                RelayTestBed.request(
                                        order,
                                        "POST",
                                        "/order/",
                                        "Connection: close\r\nSapphire-Deadline-Ms: "
                                                + DEADLINE_MS
                                                + "\r\n",
                                        order));
                assertThat(System.nanoTime() / 1_000_000 - startedAtMs)
                        .isLessThan(DEADLINE_MS + OVERRUN_MS);
                check(seed, order, response, endpoint);
            }
            assertThat(testBed.reservedBytes()).isZero();
        }
    }

    private static void check(long seed, String order, String response, ScriptedEndpoint endpoint) {
        Corruption corruption = corruptionOf(seed, order);
        String description = "seed " + seed + ", " + corruption + " of " + order + ": " + response;
        int status = Integer.parseInt(response.substring(9, 12));
        long runs = endpoint.received().stream().filter(r -> r.body().equals(order)).count();
        assertThat(runs).as(description).isLessThanOrEqualTo(1);
        if (status == 503) {
            assertThat(runs).as(description).isZero();
        } else if (status == 200 && !corruption.mayChangeBody()) {
            assertThat(corruption).as(description).isNotEqualTo(Corruption.CUT);
            assertThat(response)
                    .as(description)
                    .endsWith("body of " + order + "\r\n\r\nHTTP/1.1 200 OK\r\n");
        } else if (!corruption.mayChangeBody() && corruption != Corruption.CUT) {
            // An order on a connection with bytes left by the one before may be lost, never
            // delayed.
            assertThat(status).as(description).isIn(200, 502);
        }
        for (int other = 0; other < ORDERS_PER_SEED; other++) {
            if (!orderName(seed, other).equals(order)) {
                assertThat(response).as(description).doesNotContain(orderName(seed, other));
            }
        }
    }
}
