package review;

import java.util.Map;

/**
 * Answer to a request.
 *
 * @param status status code; 0 if the connection ended or the time passed without a whole answer
 * @param headers fields by name in lower case
 * @param body body
 * @param end why there is no answer, empty if there is one
 */
record Answer(int status, Map<String, String> headers, byte[] body, String end) {

    static final Answer NONE = none("no connection");

    static Answer none(String end) {
        return new Answer(0, Map.of(), new byte[0], end);
    }
}
