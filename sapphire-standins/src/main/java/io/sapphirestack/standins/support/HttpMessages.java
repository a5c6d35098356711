package io.sapphirestack.standins.support;

import java.io.IOException;
import java.io.OutputStream;
import java.util.Map;
import org.apache.hc.core5.function.Supplier;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.EntityTemplate;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.io.IOCallback;

/** Reads requests and fills in responses of the HTTP servers of the stand-ins. Stateless. */
public final class HttpMessages {

    /** Response header that tells whether the request was executed; {@code not-run} means never. */
    public static final String RUN_HEADER = "Sapphire-Run";

    /** Header that identifies a request; the response repeats it. */
    private static final String REQUEST_ID_HEADER = "Sapphire-Request-Id";

    private HttpMessages() {}

    /**
     * Repeats the identifier of a request in its response, if it has one.
     *
     * @param request request
     * @param response response to the request
     */
    public static void repeatRequestId(ClassicHttpRequest request, ClassicHttpResponse response) {
        Header id = request.getFirstHeader(REQUEST_ID_HEADER);
        if (id != null) {
            response.setHeader(id);
        }
    }

    /**
     * Fills in a JSON response.
     *
     * @param response response to fill in
     * @param status HTTP status
     * @param value record, map or tree
     */
    public static void respondJson(ClassicHttpResponse response, int status, Object value) {
        response.setCode(status);
        response.setEntity(
                new ByteArrayEntity(JsonSupport.toBytes(value), ContentType.APPLICATION_JSON));
    }

    /**
     * Fills in a refusal of a request that was not executed and never will be.
     *
     * @param response response to fill in
     * @param status HTTP status
     * @param code machine-readable reason
     */
    public static void respondNotRun(ClassicHttpResponse response, int status, String code) {
        respondJson(response, status, Map.of("code", code));
        response.setHeader(RUN_HEADER, "not-run");
    }

    /**
     * Fills in an event stream, which is written on the thread of the connection.
     *
     * @param response response to fill in
     * @param writer writes the events; each flush sends the buffered events at once
     */
    public static void respondEvents(
            ClassicHttpResponse response, IOCallback<OutputStream> writer) {
        response.setCode(200);
        response.setEntity(new EntityTemplate(-1, ContentType.TEXT_EVENT_STREAM, null, writer));
    }

    /**
     * Reads the body of a request.
     *
     * @param request request
     * @return body, empty if there is none
     * @throws IOException if the connection fails
     */
    public static byte[] readBody(ClassicHttpRequest request) throws IOException {
        return request.getEntity() == null
                ? new byte[0]
                : EntityUtils.toByteArray(request.getEntity());
    }

    /**
     * Returns the value of a header field.
     *
     * @param request request
     * @param name name of the field, in any case
     * @param fallback supplies the value if the field is absent
     * @return value of the field
     */
    public static String header(
            ClassicHttpRequest request, String name, Supplier<String> fallback) {
        return request.getFirstHeader(name) == null
                ? fallback.get()
                : request.getFirstHeader(name).getValue();
    }

    /**
     * Returns the value of a numeric query parameter.
     *
     * @param pathAndQuery path of the request with its query
     * @param name name of the parameter
     * @param fallback value if the parameter is absent
     * @return value of the parameter
     * @throws NumberFormatException if the value is not a whole number
     */
    public static long queryParameter(String pathAndQuery, String name, long fallback) {
        int queryMark = pathAndQuery.indexOf('?');
        if (queryMark >= 0) {
            for (String pair : pathAndQuery.substring(queryMark + 1).split("&")) {
                if (pair.startsWith(name + "=")) {
                    return Long.parseLong(pair.substring(name.length() + 1));
                }
            }
        }
        return fallback;
    }
}
