package io.sapphirestack.standins.demo;

import io.sapphirestack.client.ClientException;
import io.sapphirestack.client.SapphireClient;
import io.sapphirestack.client.StreamResult;
import io.sapphirestack.standins.engine.ExpectedOutput;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

/** Generation that compares every received token with the expected output. Thread-safe. */
final class CheckedGeneration {

    private final int maxTokens;
    private final ExpectedOutput expected;
    private final String prompt;
    private final long seed;
    private final AtomicLong receivedTokens = new AtomicLong();
    private final AtomicReference<String> generationId = new AtomicReference<>("");
    private final AtomicReference<String> failure = new AtomicReference<>("");
    private CompletableFuture<StreamResult> result;

    CheckedGeneration(String prompt, long seed, int maxTokens) {
        this.prompt = prompt;
        this.seed = seed;
        this.maxTokens = maxTokens;
        this.expected = ExpectedOutput.of(prompt, seed);
    }

    CheckedGeneration start(SapphireClient client, Executor executor) {
        Map<String, Object> body =
                Map.of(
                        "model",
                        Fleet.MODEL,
                        "prompt",
                        prompt,
                        "seed",
                        seed,
                        "max_tokens",
                        maxTokens);
        result =
                CompletableFuture.supplyAsync(
                        () -> {
                            try {
                                return client.generate(
                                        body, UUID.randomUUID().toString(), this::onToken);
                            } catch (ClientException e) {
                                failure.compareAndSet("", e.getMessage());
                                return null;
                            }
                        },
                        executor);
        return this;
    }

    private void onToken(String receivedId, long offset, String text) {
        generationId.set(receivedId);
        if (offset != receivedTokens.get() || !text.equals(expected.token(offset))) {
            failure.compareAndSet("", "wrong token at offset " + offset);
        }
        receivedTokens.incrementAndGet();
    }

    /** Returns the identifier of the generation, empty before the first token. */
    String generationId() {
        return generationId.get();
    }

    /**
     * Returns the name of the instance that accepted the generation, empty before the first token.
     */
    String acceptingInstance() {
        return generationId().isEmpty() ? "" : generationId().split("-")[1];
    }

    boolean hasFailed() {
        return !failure.get().isEmpty();
    }

    long receivedTokens() {
        return receivedTokens.get();
    }

    /**
     * Waits for the end of the stream and returns the failure, empty if all tokens are as expected.
     */
    String awaitFailure() {
        StreamResult streamResult = result.join();
        if (failure.get().isEmpty()
                && (streamResult == null || receivedTokens.get() != maxTokens)) {
            return "received " + receivedTokens.get() + " of " + maxTokens + " tokens";
        }
        return failure.get();
    }

    /**
     * Returns the result of the client, or {@code null} if the generation failed. Waits for the end
     * of the stream.
     */
    StreamResult result() {
        return result.join();
    }
}
