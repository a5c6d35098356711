package io.sapphirestack.client;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;
import java.util.Map;

/**
 * Response of the HTTP interface. {@link SapphireClient#call} returns only responses with a status
 * below 400, or responses of a plain service that an instance has forwarded.
 *
 * @param address {@code host:port} of the instance that responded
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

    /** Returns the body as JSON, or a missing node if it is not valid JSON. */
    public JsonNode json() {
        try {
            JsonNode node = MAPPER.readTree(body);
            return node == null ? MissingNode.getInstance() : node;
        } catch (IOException e) {
            return MissingNode.getInstance();
        }
    }
}
