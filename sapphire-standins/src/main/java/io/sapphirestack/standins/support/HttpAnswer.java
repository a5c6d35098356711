package io.sapphirestack.standins.support;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * Whole answer to an HTTP request.
 *
 * @param status HTTP status
 * @param headers header fields; names are compared without case
 * @param body body, empty if there is none
 */
public record HttpAnswer(int status, Map<String, String> headers, byte[] body) {

    /** Returns the body as a JSON tree, or a missing node if it is not JSON. */
    public JsonNode json() {
        try {
            return JsonSupport.tree(body);
        } catch (IOException e) {
            return MissingNode.getInstance();
        }
    }

    /** Returns the {@code code} of problem details, or the status if there is none. */
    public String code() {
        return json().path("code").asText(Integer.toString(status));
    }

    /** Returns the body as text. */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
