package io.sapphirestack.runtime.order;

/**
 * Response of a plain service to an order or a read.
 *
 * @param status HTTP status
 * @param contentType media type of the body, an empty string if there is none
 * @param body response body, empty if there is none
 * @param endpoint identifier of the endpoint that responded; an empty string if the response was
 *     read from the order ledger
 */
public record ServiceResponse(int status, String contentType, byte[] body, String endpoint) {}
