package io.sapphirestack.client;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;
import java.util.Map;

/**
 * Answer of the HTTP interface with a status below 400, or the passed-on answer of a plain service.
 *
 * @param address instance that answered
 * @param status HTTP status
 * @param headers response headers by lower-case name
 * @param body response body
 */
public record ClientResponse(String address, int status, Map<String, String> headers, byte[] body) {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Copies the headers. */
    public ClientResponse {
        headers = Map.copyOf(headers);
    }

    /** Returns the body as JSON, or a missing node if it is none. */
    public JsonNode json() {
        try {
            JsonNode node = MAPPER.readTree(body);
            return node == null ? MissingNode.getInstance() : node;
        } catch (IOException e) {
            return MissingNode.getInstance();
        }
    }
}
