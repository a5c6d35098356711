package io.sapphirestack.runtime.relay;

import java.util.List;
import java.util.Optional;

/**
 * Status and header fields of a response of an endpoint. Immutable.
 *
 * @param status status code
 * @param headers header fields in the order of arrival
 */
record UpstreamResponseHead(int status, List<HeaderField> headers) {

    UpstreamResponseHead {
        headers = List.copyOf(headers);
    }

    Optional<String> header(String name) {
        return headers.stream()
                .filter(field -> field.name().equalsIgnoreCase(name))
                .map(HeaderField::value)
                .findFirst();
    }

    /** Returns the values of all fields with a name, in the order of arrival. */
    List<String> headerValues(String name) {
        return headers.stream()
                .filter(field -> field.name().equalsIgnoreCase(name))
                .map(HeaderField::value)
                .toList();
    }

    boolean isSuccess() {
        return status >= 200 && status < 300;
    }

    /** Returns the header fields that are forwarded to the caller. */
    List<HeaderField> forwardedHeaders() {
        return headers.stream().filter(f -> !RelayHeaders.isHopByHop(f.name())).toList();
    }
}
