package io.sapphirestack.runtime.relay;

import java.util.Objects;

/**
 * Names in the order by which an engine copies the state of a running request to another endpoint.
 * An adapter supplies the names that its platform uses.
 *
 * @param path path of the order, a POST request with a JSON object
 * @param request field with the identifier of the running request
 * @param target field with the address of the endpoint that receives the copy
 * @param last field that says whether the run ends with the copy
 * @param handle field of the response with the handle of the copy
 * @param releasePathPrefix path of the request that releases a copy, a DELETE request, without the
 *     handle at its end
 */
public record CopyOrderNames(
        String path,
        String request,
        String target,
        String last,
        String handle,
        String releasePathPrefix) {

    /** Names of the project's own HTTP interface. */
    public static final CopyOrderNames DEFAULT =
            new CopyOrderNames("/v1/copies", "request", "target", "last", "handle", "/v1/copies/");

    /** Requires all names. */
    public CopyOrderNames {
        Objects.requireNonNull(path, "path");
        Objects.requireNonNull(request, "request");
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(last, "last");
        Objects.requireNonNull(handle, "handle");
        Objects.requireNonNull(releasePathPrefix, "releasePathPrefix");
    }
}
