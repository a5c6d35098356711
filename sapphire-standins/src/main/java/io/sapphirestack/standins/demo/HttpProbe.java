package io.sapphirestack.standins.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/**
 * Sends single requests to processes of the fleet. It doesn't use the client of the system, so that
 * its results are independent of it. Stateless.
 */
final class HttpProbe {

    private static final HttpClient CLIENT =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(1))
                    .build();
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private HttpProbe() {}

    /** Returns the HTTP status of a GET, or -1 if there is no response. */
    static int status(String address, String path) {
        try {
            return get(address, path).statusCode();
        } catch (IOException e) {
            return -1;
        }
    }

    /** Returns the JSON body of a GET, or a missing node if there is no JSON response. */
    static JsonNode json(String address, String path) {
        try {
            return MAPPER.readTree(get(address, path).body());
        } catch (IOException e) {
            return MissingNode.getInstance();
        }
    }

    /** Returns the value of a metric without labels, or NaN if it is not reported. */
    static double metric(String address, String name) {
        try {
            return get(address, "/metrics")
                    .body()
                    .lines()
                    .filter(line -> line.startsWith(name + " "))
                    .mapToDouble(
                            line -> Double.parseDouble(line.substring(name.length() + 1).trim()))
                    .findFirst()
                    .orElse(Double.NaN);
        } catch (IOException e) {
            return Double.NaN;
        }
    }

    private static HttpResponse<String> get(String address, String path) throws IOException {
        try {
            HttpRequest request =
                    HttpRequest.newBuilder(URI.create("http://" + address + path))
                            .timeout(Duration.ofSeconds(2))
                            .build();
            return CLIENT.send(request, HttpResponse.BodyHandlers.ofString());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }
}
