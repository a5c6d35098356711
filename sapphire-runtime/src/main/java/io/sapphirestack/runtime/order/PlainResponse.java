package io.sapphirestack.runtime.order;

/**
 * Complete HTTP response of an endpoint of a plain service.
 *
 * @param status HTTP status
 * @param contentType media type of the body, an empty string if there is none
 * @param body response body, empty if there is none
 * @param notExecuted whether the endpoint states that the request was not executed and never will
 *     be
 * @param connectionReusable whether the connection can be used for another request
 */
public record PlainResponse(
        int status,
        String contentType,
        byte[] body,
        boolean notExecuted,
        boolean connectionReusable) {}
