package io.sapphirestack.core.relay;

/**
 * Limits on one response of an endpoint. A response above a limit ends its attempt, because a
 * faulty endpoint may send bytes without end.
 *
 * @param lineBytes maximum size of a status line, a header field, a line of chunk framing or a
 *     trailer field, in bytes
 * @param headBytes maximum size of all heads of a response together, interim heads included, in
 *     bytes
 * @param interimHeads maximum number of interim heads (status 100 to 199)
 * @param bodyBytes maximum size of the body of a plain response, in bytes
 * @param eventBytes maximum size of one event of a stream, with the comments before it, in bytes
 */
public record ResponseLimits(
        int lineBytes, int headBytes, int interimHeads, int bodyBytes, int eventBytes) {

    /** Limits that apply unless the settings set others. */
    public static final ResponseLimits DEFAULT =
            new ResponseLimits(8 * 1024, 64 * 1024, 8, 16 * 1024 * 1024, 256 * 1024);

    /**
     * Requires positive limits.
     *
     * @throws IllegalArgumentException if a limit is not positive
     */
    public ResponseLimits {
        requirePositive("lineBytes", lineBytes);
        requirePositive("headBytes", headBytes);
        requirePositive("interimHeads", interimHeads);
        requirePositive("bodyBytes", bodyBytes);
        requirePositive("eventBytes", eventBytes);
    }

    private static void requirePositive(String name, int value) {
        if (value <= 0) {
            throw new IllegalArgumentException(name + " must be positive, not " + value);
        }
    }
}
