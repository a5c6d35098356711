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

/** Generation whose every token is compared with the expected output. Thread-safe. */
final class CheckedGeneration {

    private final int maxTokens;
    private final ExpectedOutput expected;
    private final String prompt;
    private final long seed;
    private final AtomicLong received = new AtomicLong();
    private final AtomicReference<String> id = new AtomicReference<>("");
    private final AtomicReference<String> fault = new AtomicReference<>("");
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
                                fault.compareAndSet("", e.getMessage());
                                return null;
                            }
                        },
                        executor);
        return this;
    }

    private void onToken(String generationId, long offset, String text) {
        id.set(generationId);
        if (offset != received.get() || !text.equals(expected.token(offset))) {
            fault.compareAndSet("", "wrong token at offset " + offset);
        }
        received.incrementAndGet();
    }

    /** Returns the identifier, empty before the first token. */
    String id() {
        return id.get();
    }

    /** Returns the name of the instance that accepted the generation. */
    String acceptedBy() {
        return id().isEmpty() ? "" : id().split("-")[1];
    }

    boolean hasFailed() {
        return !fault.get().isEmpty();
    }

    long received() {
        return received.get();
    }

    /** Waits for the end and returns what was wrong, empty if every token was right. */
    String await() {
        StreamResult end = result.join();
        if (fault.get().isEmpty() && (end == null || received.get() != maxTokens)) {
            return "got " + received.get() + " of " + maxTokens + " tokens";
        }
        return fault.get();
    }

    /** Returns how the stream went; only after {@link #await()} returned an empty text. */
    StreamResult result() {
        return result.join();
    }
}
