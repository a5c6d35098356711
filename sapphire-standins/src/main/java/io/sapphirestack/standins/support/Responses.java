package io.sapphirestack.standins.support;

import java.io.IOException;
import java.io.OutputStream;
import java.util.Map;
import org.apache.hc.core5.function.Supplier;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.EntityTemplate;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.io.IOCallback;

/** Fills in responses and reads requests of the stand-ins. Stateless. */
public final class Responses {

    /** Says that the work was refused and never runs. */
    public static final String RUN_HEADER = "Sapphire-Run";

    private Responses() {}

    /**
     * Answers with JSON.
     *
     * @param response response to fill in
     * @param status HTTP status
     * @param value record, map or tree
     */
    public static void json(ClassicHttpResponse response, int status, Object value) {
        response.setCode(status);
        response.setEntity(
                new ByteArrayEntity(JsonSupport.bytes(value), ContentType.APPLICATION_JSON));
    }

    /**
     * Refuses work that did not run.
     *
     * @param response response to fill in
     * @param status HTTP status
     * @param code machine-readable reason
     */
    public static void notRun(ClassicHttpResponse response, int status, String code) {
        json(response, status, Map.of("code", code));
        response.setHeader(RUN_HEADER, "not-run");
    }

    /**
     * Answers with an event stream that is written on the thread of the connection.
     *
     * @param response response to fill in
     * @param writer writes the events; each flush reaches the client at once
     */
    public static void events(ClassicHttpResponse response, IOCallback<OutputStream> writer) {
        response.setCode(200);
        response.setEntity(new EntityTemplate(-1, ContentType.TEXT_EVENT_STREAM, null, writer));
    }

    /**
     * Reads the whole body of a request.
     *
     * @param request request
     * @return body, empty if there is none
     * @throws IOException if the connection fails
     */
    public static byte[] body(ClassicHttpRequest request) throws IOException {
        return request.getEntity() == null
                ? new byte[0]
                : EntityUtils.toByteArray(request.getEntity());
    }

    /**
     * Returns a header field.
     *
     * @param request request
     * @param name name of the field
     * @param fallback value if the field is absent
     * @return value of the field
     */
    public static String header(
            ClassicHttpRequest request, String name, Supplier<String> fallback) {
        return request.getFirstHeader(name) == null
                ? fallback.get()
                : request.getFirstHeader(name).getValue();
    }

    /**
     * Returns a parameter of the query.
     *
     * @param pathAndQuery request target
     * @param name name of the parameter
     * @param fallback value if the parameter is absent
     * @return value of the parameter
     * @throws NumberFormatException if the value is not a whole number
     */
    public static long longParameter(String pathAndQuery, String name, long fallback) {
        int question = pathAndQuery.indexOf('?');
        if (question >= 0) {
            for (String pair : pathAndQuery.substring(question + 1).split("&")) {
                if (pair.startsWith(name + "=")) {
                    return Long.parseLong(pair.substring(name.length() + 1));
                }
            }
        }
        return fallback;
    }
}
