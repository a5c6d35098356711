package io.sapphirestack.runtime.relay;

/**
 * HTTP header field of a request or a response.
 *
 * @param name name, compared without regard to case
 * @param value value, empty if the field has none
 */
public record HeaderField(String name, String value) {}
