package io.sapphirestack.runtime.order;

/**
 * Answer of a plain service.
 *
 * @param status HTTP status
 * @param contentType media type of the body
 * @param body answer body
 * @param endpoint endpoint that answered, empty if the answer was stored earlier
 */
public record ServiceResponse(int status, String contentType, byte[] body, String endpoint) {}
