package io.sapphirestack.standins.support;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * HTTP response whose body has been read completely.
 *
 * @param status HTTP status
 * @param headers header fields; names are case-insensitive
 * @param body body, empty if there is none
 */
public record BufferedHttpResponse(int status, Map<String, String> headers, byte[] body) {

    /** Returns the body as a JSON tree, or a missing node if it is not JSON. */
    public JsonNode json() {
        try {
            return JsonSupport.readTree(body);
        } catch (IOException e) {
            return MissingNode.getInstance();
        }
    }

    /**
     * Returns the {@code code} of the problem details in the body, or the HTTP status if there is
     * none.
     */
    public String problemCode() {
        return json().path("code").asText(Integer.toString(status));
    }

    /** Returns the body as text, decoded from UTF-8. */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
