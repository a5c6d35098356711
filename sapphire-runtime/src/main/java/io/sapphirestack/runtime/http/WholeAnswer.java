package io.sapphirestack.runtime.http;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.runtime.generation.TokenBatch;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Delivers a generation as one JSON object. A long text is written while it is produced, so that it
 * is never held as a whole; a failure then ends the connection before the end of the object.
 */
final class WholeAnswer {

    // Up to this size an answer is complete before its status is sent, so that a failure can still
    // become a refusal.
    private static final int BUFFERED_CHARS = 64 * 1024;

    private final AnswerSource source;

    WholeAnswer(AnswerSource source) {
        this.source = source;
    }

    /** Waits for the whole answer, or for its first part if it is long. */
    ApiResponse answer() throws RefusedException, IOException {
        StringBuilder text = new StringBuilder();
        while (text.length() < BUFFERED_CHARS) {
            Optional<TokenBatch> batch = read(text);
            if (batch.isPresent() && batch.get().complete()) {
                return ApiResponse.json(200, body(text.toString(), batch.get()));
            }
        }
        return ApiResponse.stream("application/json", out -> writeRest(out, text));
    }

    private Optional<TokenBatch> read(StringBuilder text) throws RefusedException, IOException {
        if (source.isOverdue()) {
            throw new RefusedException(EventStream.deadlineRefusal());
        }
        Optional<TokenBatch> batch = source.reader().next();
        if (batch.isPresent() && !batch.get().tokens().isEmpty()) {
            source.observer().tokens(batch.get().tokens().size());
            batch.get().tokens().forEach(text::append);
        }
        return batch;
    }

    private ObjectNode body(String text, TokenBatch last) {
        ObjectNode body =
                ApiJson.MAPPER
                        .createObjectNode()
                        .put("id", source.reader().id().value())
                        .put("object", "text_completion")
                        .put("model", source.model());
        body.putArray("choices")
                .addObject()
                .put("index", 0)
                .put("text", text)
                .put("finish_reason", EventStream.finishReason(last));
        body.putObject("usage").put("completion_tokens", source.reader().offset());
        return body;
    }

    private void writeRest(OutputStream out, StringBuilder text) throws IOException {
        String start =
                "{\"id\":"
                        + ApiJson.MAPPER.writeValueAsString(source.reader().id().value())
                        + ",\"object\":\"text_completion\",\"model\":"
                        + ApiJson.MAPPER.writeValueAsString(source.model())
                        + ",\"choices\":[{\"index\":0,\"text\":\"";
        out.write(start.getBytes(StandardCharsets.UTF_8));
        try {
            Optional<TokenBatch> batch = Optional.empty();
            while (batch.isEmpty() || !batch.get().complete()) {
                out.write(JsonStringEncoder.getInstance().quoteAsUTF8(text.toString()));
                out.flush();
                text.setLength(0);
                batch = read(text);
            }
            out.write(JsonStringEncoder.getInstance().quoteAsUTF8(text.toString()));
            String end =
                    "\",\"finish_reason\":"
                            + ApiJson.MAPPER.writeValueAsString(
                                    EventStream.finishReason(batch.get()))
                            + "}],\"usage\":{\"completion_tokens\":"
                            + source.reader().offset()
                            + "}}";
            out.write(end.getBytes(StandardCharsets.UTF_8));
        } catch (RefusedException e) {
            throw new IOException("the answer cannot be finished", e);
        }
    }
}
