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
 * Writes one generation as server-sent events. Tokens are pulled from the generation's log only as
 * fast as the caller reads, so a slow caller costs one batch and one socket buffer.
 */
final class EventStream {

    private static final byte[] KEEP_ALIVE = utf8(": keep-alive\n\n");
    private static final byte[] DONE = utf8("data: [DONE]\n\n");

    private final AnswerSource source;

    EventStream(AnswerSource source) {
        this.source = source;
    }

    /**
     * Writes events until the generation has ended; a stream without its last event is not whole.
     */
    void writeTo(OutputStream out, Optional<TokenBatch> first) throws IOException {
        try {
            Optional<TokenBatch> batch = first;
            long lastWriteMs = source.clock().nowMs();
            while (true) {
                if (batch.isPresent() && !batch.get().tokens().isEmpty()) {
                    writeTokens(out, batch.get());
                    lastWriteMs = source.clock().nowMs();
                } else if (source.clock().nowMs() - lastWriteMs >= TokenReader.KEEP_ALIVE_MS / 2) {
                    out.write(KEEP_ALIVE);
                    out.flush();
                    lastWriteMs = source.clock().nowMs();
                }
                if (batch.isPresent() && batch.get().complete()) {
                    writeEnd(out, batch.get());
                    return;
                }
                if (source.isOverdue()) {
                    writeError(out, deadlineRefusal());
                    return;
                }
                batch = source.reader().next();
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
        source.observer().tokens(batch.tokens().size());
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
                        .put("id", source.reader().id().value())
                        .put("object", "text_completion")
                        .put("model", source.model());
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
                "The deadline passed; the generation goes on and can be continued by its id.",
                "deliver",
                "local",
                ExecutionState.UNKNOWN,
                0);
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
