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
 * Delivers a generation as one JSON object. A long text is written in chunks while it is generated,
 * so that memory use is bounded; a failure then closes the connection before the object is
 * complete. Not thread-safe.
 */
final class JsonCompletion {

    // Text below this size is buffered until the generation is complete, so that a failure can
    // still be sent as a refusal with its status.
    private static final int BUFFERED_CHARS = 64 * 1024;

    private final GenerationDelivery delivery;

    JsonCompletion(GenerationDelivery delivery) {
        this.delivery = delivery;
    }

    /** Waits for the end of the generation, or until the text reaches the buffer size. */
    ApiResponse toResponse() throws RefusedException, IOException {
        StringBuilder text = new StringBuilder();
        while (text.length() < BUFFERED_CHARS) {
            Optional<TokenBatch> batch = pollBatch(text);
            if (batch.isPresent() && batch.get().complete()) {
                return ApiResponse.json(200, body(text.toString(), batch.get()));
            }
        }
        return ApiResponse.stream("application/json", out -> writeChunked(out, text));
    }

    private Optional<TokenBatch> pollBatch(StringBuilder text)
            throws RefusedException, IOException {
        if (delivery.isDeadlinePassed()) {
            throw new RefusedException(EventStream.deadlineRefusal());
        }
        Optional<TokenBatch> batch = delivery.reader().pollBatch();
        if (batch.isPresent() && !batch.get().tokens().isEmpty()) {
            delivery.latencyRecorder().recordTokens(batch.get().tokens().size());
            batch.get().tokens().forEach(text::append);
        }
        if (batch.isPresent() && batch.get().complete()) {
            EventStream.requireNotFailed(batch.get());
        }
        return batch;
    }

    private ObjectNode body(String text, TokenBatch last) {
        ObjectNode body =
                ApiJson.MAPPER
                        .createObjectNode()
                        .put("id", delivery.reader().id().value())
                        .put("object", "text_completion")
                        .put("model", delivery.model());
        body.putArray("choices")
                .addObject()
                .put("index", 0)
                .put("text", text)
                .put("finish_reason", EventStream.finishReason(last));
        body.putObject("usage").put("completion_tokens", delivery.reader().offset());
        return body;
    }

    private void writeChunked(OutputStream out, StringBuilder text) throws IOException {
        String prefix =
                "{\"id\":"
                        + ApiJson.MAPPER.writeValueAsString(delivery.reader().id().value())
                        + ",\"object\":\"text_completion\",\"model\":"
                        + ApiJson.MAPPER.writeValueAsString(delivery.model())
                        + ",\"choices\":[{\"index\":0,\"text\":\"";
        out.write(prefix.getBytes(StandardCharsets.UTF_8));
        try {
            Optional<TokenBatch> batch = Optional.empty();
            while (batch.isEmpty() || !batch.get().complete()) {
                out.write(JsonStringEncoder.getInstance().quoteAsUTF8(text.toString()));
                out.flush();
                text.setLength(0);
                batch = pollBatch(text);
            }
            out.write(JsonStringEncoder.getInstance().quoteAsUTF8(text.toString()));
            String suffix =
                    "\",\"finish_reason\":"
                            + ApiJson.MAPPER.writeValueAsString(
                                    EventStream.finishReason(batch.get()))
                            + "}],\"usage\":{\"completion_tokens\":"
                            + delivery.reader().offset()
                            + "}}";
            out.write(suffix.getBytes(StandardCharsets.UTF_8));
        } catch (RefusedException e) {
            throw new IOException("cannot complete the response", e);
        }
    }
}
