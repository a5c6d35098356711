package io.sapphirestack.runtime.relay;

import java.util.List;
import java.util.Optional;

/**
 * Status and header of an answer of an endpoint.
 *
 * @param status status code
 * @param headers header fields in order
 */
record UpstreamAnswer(int status, List<HeaderField> headers) {

    UpstreamAnswer {
        headers = List.copyOf(headers);
    }

    Optional<String> header(String name) {
        return headers.stream()
                .filter(field -> field.name().equalsIgnoreCase(name))
                .map(HeaderField::value)
                .findFirst();
    }

    boolean isSuccess() {
        return status >= 200 && status < 300;
    }

    /** Returns the fields that are passed on to the caller. */
    List<HeaderField> forwarded() {
        return headers.stream().filter(f -> !RelayHeaders.isHopByHop(f.name())).toList();
    }
}
