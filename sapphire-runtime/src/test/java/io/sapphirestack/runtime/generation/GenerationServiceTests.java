package io.sapphirestack.runtime.generation;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import io.sapphirestack.core.blackboard.ConfigurationLease;
import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.id.AccountId;
import io.sapphirestack.core.id.GenerationId;
import io.sapphirestack.core.record.ResumePolicy;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.assertj.core.api.ThrowableAssert.ThrowingCallable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against missing, duplicate or mixed tokens in the output of a generation when engines,
 * connections or instances fail while it runs.
 */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class GenerationServiceTests {

    private static final int TOKENS = 12;
    private static final long WAIT_MS = 5_000;
    private static final int MAX_EMPTY_FETCHES = 4;

    private FakeCluster cluster;
    private FakeEngine firstEngine;
    private FakeEngine secondEngine;

    /**
     * Accepts one generation before the first test, so that no test includes the loading of
     * classes. Replicas have 300 ms to confirm a generation; in a cold JVM on a slow machine the
     * first generation can take longer and is then refused, which is no fault.
     */
    @BeforeAll
    static void loadClasses() throws Exception {
        GenerationServiceTests warmUp = new GenerationServiceTests();
        warmUp.start();
        catchThrowableOfType(RefusedException.class, () -> warmUp.accept("p"));
        warmUp.stop();
    }

    @BeforeEach
    void start() throws Exception {
        cluster = new FakeCluster(4);
        firstEngine = new FakeEngine("e1");
        secondEngine = new FakeEngine("e2");
        cluster.publishEndpoints(firstEngine, secondEngine);
    }

    @AfterEach
    void stop() {
        cluster.close();
        firstEngine.close();
        secondEngine.close();
    }

    /** Guards against an output that depends on the instance that serves the read. */
    @Test
    void everyInstanceServesTheSameOutput() throws Exception {
        firstEngine.release(TOKENS);
        GenerationId id = accept("p");

        List<String> output = read("i1", id, 0, TOKENS);

        assertThat(output).isEqualTo(expected("e1", 1, "p", 0, TOKENS));
        for (String instance : List.of("i2", "i3", "i4")) {
            assertThat(read(instance, id, 0, TOKENS)).isEqualTo(output);
            assertThat(read(instance, id, 7, TOKENS)).isEqualTo(output.subList(7, TOKENS));
        }
        GenerationStatus status = cluster.service("i4").status(id, FakeCluster.ACCOUNT);
        assertThat(status.phase()).isEqualTo(GenerationPhase.DONE);
        assertThat(status.finishReason()).isEqualTo("length");
        assertThat(status.attempts()).isEqualTo(1);
    }

    /**
     * Guards against missing, duplicate or mixed tokens when the engine of an attempt is killed.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 5, 11})
    void generationContinuesOnAnotherEngineAfterItsEngineIsKilled(int offset) throws Exception {
        firstEngine.release(offset);
        secondEngine.release(TOKENS);
        GenerationId id = accept("p");
        List<String> output = read("i1", id, 0, offset);

        firstEngine.close();
        output.addAll(read("i2", id, offset, TOKENS));

        List<String> expected = expected("e1", 1, "p", 0, offset);
        expected.addAll(expected("e2", 2, "p", offset, TOKENS));
        assertThat(output).isEqualTo(expected);
        assertThat(read("i3", id, 0, TOKENS)).isEqualTo(expected);
        assertThat(cluster.service("i1").status(id, FakeCluster.ACCOUNT).recomputedTokens())
                .isEqualTo(offset);
    }

    /** Guards against a generation that crashes one engine after the other. */
    @Tag("known-red")
    @Test
    void generationThatCrashesEnginesFailsAndIsRefusedWhenItComesAgain() throws Exception {
        try (FakeEngine thirdEngine = new FakeEngine("e3")) {
            thirdEngine.release(TOKENS);
            cluster.publishEndpoints(firstEngine, secondEngine, thirdEngine);
            GenerationId id = accept(FakeEngine.DEADLY);
            assertThat(read("i2", id, 0, TOKENS)).isEmpty();
            assertThat(cluster.service("i2").status(id, FakeCluster.ACCOUNT).phase())
                    .isEqualTo(GenerationPhase.FAILED);
            assertRefused("request_quarantined", 503, () -> accept(FakeEngine.DEADLY));
            assertThat(thirdEngine.startedAttempts()).isZero();
            assertThat(read("i1", accept("p"), 0, TOKENS)).hasSize(TOKENS);
        }
    }

    /** Guards against recomputing tokens when a stream sends no data but its engine still works. */
    @ParameterizedTest
    @ValueSource(strings = {"LATENCY", "RESOURCE", "SPECULATIVE"})
    void stalledStreamIsReattachedWithoutRecomputing(String policy) throws Exception {
        cluster.policy = ResumePolicy.valueOf(policy);
        firstEngine.release(4);
        GenerationId id = accept("p");
        List<String> output = read("i1", id, 0, 4);

        firstEngine.stallOpenStreams();
        firstEngine.release(TOKENS);
        output.addAll(read("i1", id, 4, TOKENS));

        assertThat(output).isEqualTo(expected("e1", 1, "p", 0, TOKENS));
        assertThat(cluster.metrics.reattachments).hasValue(1);
        assertThat(cluster.metrics.recomputed).hasValue(0);
        assertThat(firstEngine.startedAttempts() + secondEngine.startedAttempts()).isEqualTo(1);
    }

    /** Guards against waiting for a paused engine under a policy that changes engines at once. */
    @ParameterizedTest
    @ValueSource(strings = {"LATENCY", "SPECULATIVE"})
    void pausedEngineIsReplaced(String policy) throws Exception {
        cluster.policy = ResumePolicy.valueOf(policy);
        firstEngine.release(4);
        secondEngine.release(TOKENS);
        GenerationId id = accept("p");
        List<String> output = read("i1", id, 0, 4);

        firstEngine.setPaused(true);
        output.addAll(read("i1", id, 4, TOKENS));
        firstEngine.release(TOKENS);
        firstEngine.setPaused(false);

        List<String> expected = expected("e1", 1, "p", 0, 4);
        expected.addAll(expected("e2", 2, "p", 4, TOKENS));
        assertThat(output).isEqualTo(expected);
        assertThat(read("i2", id, 0, TOKENS)).isEqualTo(expected);
    }

    /** Guards against recomputing tokens under a policy that waits for a paused engine. */
    @Test
    void pausedEngineIsAwaitedUnderResourcePolicy() throws Exception {
        cluster.policy = ResumePolicy.RESOURCE;
        firstEngine.release(4);
        GenerationId id = accept("p");
        List<String> output = read("i1", id, 0, 4);

        firstEngine.setPaused(true);
        firstEngine.awaitProbes(2);
        firstEngine.release(TOKENS);
        firstEngine.setPaused(false);
        output.addAll(read("i1", id, 4, TOKENS));

        assertThat(output).isEqualTo(expected("e1", 1, "p", 0, TOKENS));
        assertThat(cluster.metrics.recomputed).hasValue(0);
    }

    /**
     * Guards against tokens that are delivered to the caller of another generation (invariant I3).
     */
    @Test
    void outputsOfConcurrentGenerationsAreNotMixed() throws Exception {
        GenerationId firstId = accept("one");
        GenerationId secondId = accept("two");

        firstEngine.release(6);
        List<String> secondOutput = read("i3", secondId, 0, 6);
        List<String> firstOutput = read("i2", firstId, 0, 6);
        firstEngine.stallOpenStreams();
        firstEngine.release(TOKENS);
        firstOutput.addAll(read("i4", firstId, 6, TOKENS));
        secondOutput.addAll(read("i1", secondId, 6, TOKENS));

        assertThat(firstOutput).isEqualTo(expected("e1", 1, "one", 0, TOKENS));
        assertThat(secondOutput).isEqualTo(expected("e1", 1, "two", 0, TOKENS));
    }

    /** Guards against losing a generation when its owner fails, and against an unneeded attempt. */
    @Test
    void generationContinuesAfterItsOwnerFails() throws Exception {
        firstEngine.release(5);
        GenerationId id = accept("p");
        List<String> output = read("i1", id, 0, 5);

        cluster.kill("i1");
        cluster.evict("i1");
        firstEngine.release(TOKENS);
        output.addAll(read("i4", id, 5, TOKENS));

        assertThat(output).isEqualTo(expected("e1", 1, "p", 0, TOKENS));
        assertThat(cluster.metrics.takeovers).hasValue(1);
        assertThat(cluster.metrics.recomputed).hasValue(0);
    }

    /** Guards against losing a generation whose owner and engine fail at the same time. */
    @Test
    void generationContinuesAfterItsOwnerAndEngineFail() throws Exception {
        firstEngine.release(5);
        secondEngine.release(TOKENS);
        GenerationId id = accept("p");
        List<String> output = read("i1", id, 0, 5);

        cluster.kill("i1");
        firstEngine.close();
        cluster.evict("i1");
        output.addAll(read("i4", id, 5, TOKENS));

        assertThat(output.subList(0, 5)).isEqualTo(expected("e1", 1, "p", 0, 5));
        assertThat(output).hasSize(TOKENS);
        assertThat(output.subList(5, TOKENS)).allMatch(token -> token.startsWith("e2."));
        assertThat(read("i2", id, 0, TOKENS)).isEqualTo(output);
    }

    /** Guards against a generation that never continues after one of its replicas has failed. */
    @Test
    void failedReplicaIsReportedAndReplaced() throws Exception {
        firstEngine.release(3);
        GenerationId id = accept("p");
        List<String> output = read("i1", id, 0, 3);
        String replica =
                cluster.instances.keySet().stream()
                        .filter(name -> !name.equals("i1"))
                        .filter(name -> holds(name, id))
                        .findFirst()
                        .orElseThrow();

        cluster.kill(replica);
        firstEngine.release(TOKENS);
        cluster.clockMs.addAndGet(400);
        // A peer is reported after 1,500 ms without an acknowledgement; only the test advances the
        // clock.
        while (cluster.reportedPeers.poll(50, TimeUnit.MILLISECONDS) == null) {
            cluster.clockMs.addAndGet(500);
        }
        cluster.evict(replica);
        output.addAll(read("i1", id, 3, TOKENS));

        assertThat(output).isEqualTo(expected("e1", 1, "p", 0, TOKENS));
    }

    /**
     * Guards against an instance that starts an attempt with a stale configuration (invariant I8).
     */
    @Test
    void instanceWithStaleConfigurationKeepsGenerationButStartsNoAttempt() throws Exception {
        firstEngine.release(4);
        GenerationId id = accept("p");
        List<String> output = read("i1", id, 0, 4);

        cluster.instances
                .get("i1")
                .blackboard
                .configurationLease()
                .publish(ConfigurationLease.NONE);
        firstEngine.close();
        TokenBatch batchWhileStale = cluster.service("i1").fetch(id, FakeCluster.ACCOUNT, 4, 300);
        assertThat(batchWhileStale.tokens()).isEmpty();
        assertThat(secondEngine.startedAttempts()).isZero();
        assertRefused("configuration_stale", 503, () -> accept("other"));

        cluster.instances
                .get("i1")
                .blackboard
                .configurationLease()
                .publish(new ConfigurationLease(Long.MAX_VALUE));
        secondEngine.release(TOKENS);
        output.addAll(read("i1", id, 4, TOKENS));
        assertThat(output).hasSize(TOKENS);
    }

    /** Guards against showing a generation to another account. */
    @Test
    void otherAccountGetsNotFound() throws Exception {
        firstEngine.release(TOKENS);
        GenerationId id = accept("p");
        AccountId other = AccountId.of("other");

        for (String instance : cluster.instances.keySet()) {
            GenerationService service = cluster.service(instance);
            assertRefused("not_found", 404, () -> service.fetch(id, other, 0, 100));
            assertRefused("not_found", 404, () -> service.status(id, other));
            assertRefused("not_found", 404, () -> service.cancel(id, other));
        }
        assertThat(read("i1", id, 0, TOKENS)).hasSize(TOKENS);
    }

    /** Guards against an empty batch for an offset that does not exist. */
    @Test
    void offsetBeyondTheOutputIsRefused() throws Exception {
        firstEngine.release(TOKENS);
        GenerationId id = accept("p");
        read("i1", id, 0, TOKENS);

        for (String instance : cluster.instances.keySet()) {
            GenerationService service = cluster.service(instance);
            assertRefused(
                    "offset_out_of_range",
                    416,
                    () -> service.fetch(id, FakeCluster.ACCOUNT, TOKENS + 1, 100));
        }
    }

    /** Guards against accepting a request that cannot be served, and against a wrong error code. */
    @ParameterizedTest
    @CsvSource({"m2, not_found, 404", "m1, no_endpoint, 503"})
    void requestWithoutModelOrEndpointIsRefused(String model, String code, int status) {
        cluster.publishEndpoints();

        assertRefused(
                code,
                status,
                () ->
                        cluster.service("i1")
                                .accept(
                                        new GenerationRequest(
                                                FakeCluster.ACCOUNT,
                                                model,
                                                "p",
                                                TOKENS,
                                                1,
                                                Optional.empty())));
    }

    /** Guards against accepting a generation that has no copy on another instance. */
    @Test
    void generationWithoutReplicasIsRefused() {
        for (String replica : List.of("i2", "i3", "i4")) {
            cluster.instances.get(replica).reachable = false;
        }

        assertRefused("too_few_replicas", 503, () -> accept("p"));

        assertThat(firstEngine.startedAttempts() + secondEngine.startedAttempts()).isZero();
        assertThat(cluster.service("i1").countOwnedRunning()).isZero();
    }

    /** Guards against two generations for one idempotency key. */
    @Test
    void resentKeyReturnsTheSameGeneration() throws Exception {
        firstEngine.release(TOKENS);

        GenerationId id = accept("i1", "p", Optional.of("k"));

        assertThat(accept("i3", "p", Optional.of("k"))).isEqualTo(id);
        assertThat(accept("i1", "p", Optional.of("k"))).isEqualTo(id);
        assertRefused("key_reused", 422, () -> accept("i2", "other", Optional.of("k")));
        assertThat(accept("i2", "p", Optional.of("k2"))).isNotEqualTo(id);
    }

    /** Guards against an engine that continues to compute a cancelled generation. */
    @Test
    void cancelEndsTheGenerationAndItsStream() throws Exception {
        firstEngine.release(3);
        GenerationId id = accept("p");
        read("i1", id, 0, 3);

        cluster.service("i4").cancel(id, FakeCluster.ACCOUNT);

        firstEngine.awaitCancelled();
        assertThat(read("i2", id, 0, TOKENS)).hasSize(3);
        assertThat(cluster.service("i3").status(id, FakeCluster.ACCOUNT).phase())
                .isEqualTo(GenerationPhase.CANCELLED);
    }

    /** Guards against reporting a generation identifier that was never created as lost. */
    @Test
    void unknownGenerationIsNotFound() {
        GenerationId unknown = GenerationId.of("g-i2-1-77-00000000000000ff");

        assertRefused(
                "not_found",
                404,
                () -> cluster.service("i1").fetch(unknown, FakeCluster.ACCOUNT, 0, 100));
    }

    private boolean holds(String instance, GenerationId id) {
        GenerationMessages.LocateReply reply =
                locate(instance, new GenerationMessages.LocateGeneration(id, FakeCluster.ACCOUNT));
        return reply.state().compareTo(GenerationMessages.HolderState.REPLICA) >= 0;
    }

    @SuppressWarnings("unchecked")
    private GenerationMessages.LocateReply locate(
            String instance, GenerationMessages.LocateGeneration request) {
        var handler =
                (io.sapphirestack.runtime.transport.PeerHandler<
                                GenerationMessages.LocateGeneration,
                                GenerationMessages.LocateReply>)
                        cluster.instances
                                .get(instance)
                                .handlers
                                .get(GenerationMessages.LocateGeneration.class);
        return handler.handle(request).join();
    }

    private GenerationId accept(String prompt) throws RefusedException {
        return accept("i1", prompt, Optional.empty());
    }

    private GenerationId accept(String instance, String prompt, Optional<String> key)
            throws RefusedException {
        return cluster.service(instance)
                .accept(new GenerationRequest(FakeCluster.ACCOUNT, "m1", prompt, TOKENS, 1, key));
    }

    /** Reads tokens up to an offset, exclusive, or the end of the output. */
    private List<String> read(String instance, GenerationId id, int from, int to)
            throws RefusedException {
        List<String> tokens = new ArrayList<>();
        int emptyFetches = 0;
        while (from + tokens.size() < to) {
            TokenBatch batch =
                    cluster.service(instance)
                            .fetch(id, FakeCluster.ACCOUNT, from + tokens.size(), WAIT_MS);
            assertThat(batch.fromOffset()).isEqualTo(from + tokens.size());
            tokens.addAll(batch.tokens());
            emptyFetches = batch.tokens().isEmpty() ? emptyFetches + 1 : 0;
            assertThat(emptyFetches)
                    .as("consecutive fetches without a token")
                    .isLessThan(MAX_EMPTY_FETCHES);
            if (batch.complete()) {
                return tokens;
            }
        }
        return tokens;
    }

    private static List<String> expected(
            String engine, int attempt, String prompt, int from, int to) {
        List<String> tokens = new ArrayList<>();
        for (int offset = from; offset < to; offset++) {
            tokens.add(engine + "." + attempt + "." + prompt + "." + offset);
        }
        return tokens;
    }

    private static void assertRefused(String code, int status, ThrowingCallable call) {
        RefusedException refusal = catchThrowableOfType(RefusedException.class, call);
        assertThat(refusal).isNotNull();
        assertThat(refusal.refusal().code()).isEqualTo(code);
        assertThat(refusal.refusal().status()).isEqualTo(status);
    }
}
