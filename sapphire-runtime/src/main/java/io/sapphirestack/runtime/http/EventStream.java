package io.sapphirestack.runtime.http;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sapphirestack.core.error.ExecutionState;
import io.sapphirestack.core.error.Refusal;
import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.runtime.generation.GenerationPhase;
import io.sapphirestack.runtime.generation.TokenBatch;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;

/**
 * Writes one generation as server-sent events. Tokens are fetched from the generation's log only as
 * fast as the caller reads, so a slow caller uses only the memory of one batch and one socket
 * buffer. Not thread-safe.
 */
final class EventStream {

    private static final byte[] KEEP_ALIVE = utf8(": keep-alive\n\n");
    private static final byte[] DONE = utf8("data: [DONE]\n\n");

    private final GenerationDelivery delivery;

    EventStream(GenerationDelivery delivery) {
        this.delivery = delivery;
    }

    /**
     * Writes events until the generation ends, the deadline passes or reading fails. A stream that
     * does not end with the event {@code [DONE]} is incomplete.
     *
     * @param out body of the response
     * @param firstBatch batch that was read before the status was sent, if any
     * @throws IOException if writing to the connection or fetching tokens fails
     */
    void writeTo(OutputStream out, Optional<TokenBatch> firstBatch) throws IOException {
        try {
            Optional<TokenBatch> batch = firstBatch;
            long lastWriteMs = delivery.clock().nowMs();
            while (true) {
                if (batch.isPresent() && !batch.get().tokens().isEmpty()) {
                    writeTokens(out, batch.get());
                    lastWriteMs = delivery.clock().nowMs();
                } else if (delivery.clock().nowMs() - lastWriteMs
                        >= TokenReader.POLL_TIMEOUT_MS / 2) {
                    out.write(KEEP_ALIVE);
                    out.flush();
                    lastWriteMs = delivery.clock().nowMs();
                }
                if (batch.isPresent() && batch.get().complete()) {
                    requireNotFailed(batch.get());
                    writeEnd(out, batch.get());
                    return;
                }
                if (delivery.isDeadlinePassed()) {
                    writeError(out, deadlineRefusal());
                    return;
                }
                batch = delivery.reader().pollBatch();
            }
        } catch (RefusedException e) {
            writeError(out, e.refusal());
        }
    }

    private void writeTokens(OutputStream out, TokenBatch batch) throws IOException {
        long offset = batch.fromOffset();
        for (String token : batch.tokens()) {
            out.write(utf8("id: " + offset + "\ndata: "));
            writeChunk(out, token, null);
            offset++;
        }
        out.flush();
        delivery.latencyRecorder().recordTokens(batch.tokens().size());
    }

    private void writeEnd(OutputStream out, TokenBatch batch) throws IOException {
        out.write(utf8("data: "));
        writeChunk(out, "", finishReason(batch));
        out.write(DONE);
        out.flush();
    }

    private void writeChunk(OutputStream out, String text, String finishReason) throws IOException {
        ObjectNode chunk =
                ApiJson.MAPPER
                        .createObjectNode()
                        .put("id", delivery.reader().id().value())
                        .put("object", "text_completion")
                        .put("model", delivery.model());
        chunk.putArray("choices")
                .addObject()
                .put("index", 0)
                .put("text", text)
                .put("finish_reason", finishReason);
        out.write(ApiJson.MAPPER.writeValueAsBytes(chunk));
        out.write(utf8("\n\n"));
    }

    private static void writeError(OutputStream out, Refusal refusal) throws IOException {
        out.write(utf8("event: error\ndata: "));
        out.write(ApiJson.MAPPER.writeValueAsBytes(ApiResponse.problemBody(refusal)));
        out.write(utf8("\n\n"));
        out.flush();
    }

    static Refusal deadlineRefusal() {
        return new Refusal(
                504,
                "deadline_exceeded",
                "The deadline passed; the generation continues and can be resumed by its id.",
                "deliver",
                "local",
                ExecutionState.UNKNOWN,
                0);
    }

    /**
     * Checks that an output that has ended is complete.
     *
     * @throws RefusedException if the generation was ended because it crashes engines
     */
    static void requireNotFailed(TokenBatch last) throws RefusedException {
        if (last.phase() == GenerationPhase.FAILED) {
            throw new RefusedException(
                    new Refusal(
                            502,
                            "generation_failed",
                            "The output was ended, because the request crashes engines.",
                            "generate",
                            "engine",
                            ExecutionState.UNKNOWN,
                            0));
        }
    }

    static String finishReason(TokenBatch batch) {
        if (!batch.finishReason().isEmpty()) {
            return batch.finishReason();
        }
        return batch.phase() == GenerationPhase.CANCELLED
                ? GenerationPhase.CANCELLED.name().toLowerCase(Locale.ROOT)
                : "stop";
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
