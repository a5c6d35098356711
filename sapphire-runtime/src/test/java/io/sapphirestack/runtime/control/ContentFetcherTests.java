package io.sapphirestack.runtime.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.core.control.RecordContent;
import io.sapphirestack.core.record.RecordKey;
import io.sapphirestack.runtime.transport.PeerRequest;
import io.sapphirestack.runtime.transport.PeerTransport;
import io.sapphirestack.runtime.transport.TransportException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against transfers that send again what has arrived, that never end on a slow link, or that
 * take the whole link from requests and votes (review/6). Time is simulated.
 */
class ContentFetcherTests {

    private static final RecordKey KEY = new RecordKey("traffic-plan", "current");
    private static final int PART = FetchContentRequest.MAX_PART_BYTES;
    private static final int MAX_STEPS = 10_000;

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(
                    Comparator.comparingLong(Task::atMs).thenComparingLong(Task::number));
    private final List<FetchContentRequest> requests = new ArrayList<>();
    private final List<Long> requestedAtMs = new ArrayList<>();
    private final List<byte[]> fetched = new ArrayList<>();
    private final ContentFetcher fetcher =
            new ContentFetcher(
                    new SlowLink(),
                    () -> List.of("a:1", "b:1", "c:1"),
                    this::schedule,
                    () -> this.nowMs);
    private byte[] content;
    private double lossShare;
    private int damagedParts;
    private long partMs = 40;
    private long nowMs;
    private long taskCount;
    private long sentBytes;
    private Random random = new Random(1);

    private record Task(long atMs, long number, Runnable action) {}

    /** Each byte that has arrived is asked for once, whatever the share of lost parts. */
    @ParameterizedTest
    @ValueSource(ints = {1, PART - 1, PART, PART + 1, 3 * PART, 95_000, 1_000_000, 4_000_000})
    void eachPartIsTransferredOnceAlthoughOthersAreLost(int bytes) {
        for (int seed = 0; seed < 20; seed++) {
            prepare(bytes, seed);
            lossShare = seed / 40.0;

            run(reference());

            assertThat(fetched).hasSize(1);
            assertThat(fetched.get(0)).isEqualTo(content);
            assertThat(sentBytes).isEqualTo(bytes);
        }
    }

    /** At least half of the link is left to other traffic, also when the link is slow. */
    @ParameterizedTest
    @ValueSource(longs = {1, 40, 150, 300})
    void pauseAfterAPartIsAsLongAsThePart(long durationMs) {
        prepare(4 * PART, 1);
        partMs = durationMs;

        run(reference());

        for (int i = 1; i < requestedAtMs.size(); i++) {
            long intervalMs = requestedAtMs.get(i) - requestedAtMs.get(i - 1);
            assertThat(intervalMs).isEqualTo(durationMs + Math.min(durationMs, 200));
        }
    }

    @Test
    void damagedContentIsFetchedAgainAndNeverHandedOut() {
        prepare(3 * PART, 1);
        damagedParts = 1;

        run(reference());

        assertThat(fetched).hasSize(1);
        assertThat(fetched.get(0)).isEqualTo(content);
        assertThat(requests).hasSize(6);
    }

    /** Once a newer version is wanted, no further part of the older one is asked for. */
    @Test
    void supersededContentIsNotFetched() {
        prepare(10 * PART, 1);
        RecordContent.Reference older = reference();
        fetcher.fetch(KEY, older, fetched::add);
        runFor(3 * partMs);
        long olderRequests = requests.size();
        prepareContent(2 * PART, 2);

        run(reference());

        assertThat(fetched).hasSize(1);
        assertThat(fetched.get(0)).isEqualTo(content);
        assertThat(requests.stream().filter(r -> r.reference().equals(older)))
                .hasSize((int) olderRequests);
    }

    private void prepare(int bytes, int seed) {
        tasks.clear();
        requests.clear();
        requestedAtMs.clear();
        fetched.clear();
        sentBytes = 0;
        random = new Random(seed);
        prepareContent(bytes, seed);
    }

    private void prepareContent(int bytes, int seed) {
        content = new byte[bytes];
        new Random(seed).nextBytes(content);
    }

    private RecordContent.Reference reference() {
        return RecordContent.Reference.to(content);
    }

    private void run(RecordContent.Reference wanted) {
        fetcher.fetch(KEY, wanted, fetched::add);
        for (int i = 0; i < MAX_STEPS && fetched.isEmpty(); i++) {
            runNext();
        }
    }

    private void runFor(long durationMs) {
        long endMs = nowMs + durationMs;
        while (!tasks.isEmpty() && tasks.peek().atMs() <= endMs) {
            runNext();
        }
    }

    private void runNext() {
        Task task = tasks.poll();
        assertThat(task).as("next step of the transfer").isNotNull();
        nowMs = Math.max(nowMs, task.atMs());
        task.action().run();
    }

    private void schedule(Runnable action, long delayMs) {
        tasks.add(new Task(nowMs + delayMs, taskCount++, action));
    }

    /** Link that loses some requests, and on which each part takes the same time. */
    private final class SlowLink implements PeerTransport {

        @Override
        @SuppressWarnings("unchecked")
        public <R> CompletableFuture<R> call(
                String address, PeerRequest<R> request, long timeoutMs) {
            FetchContentRequest wanted = (FetchContentRequest) request;
            requests.add(wanted);
            requestedAtMs.add(nowMs);
            CompletableFuture<R> result = new CompletableFuture<>();
            if (random.nextDouble() < lossShare) {
                TransportException lost =
                        new TransportException("await-reply", address, "lost", true, null);
                schedule(() -> result.completeExceptionally(lost), timeoutMs);
                return result;
            }
            int from = wanted.offset();
            byte[] bytes = Arrays.copyOfRange(content, from, Math.min(content.length, from + PART));
            sentBytes += bytes.length;
            if (damagedParts > 0) {
                damagedParts--;
                bytes[0]++;
            }
            schedule(() -> result.complete((R) new FetchContentRequest.Part(true, bytes)), partMs);
            return result;
        }
    }
}
