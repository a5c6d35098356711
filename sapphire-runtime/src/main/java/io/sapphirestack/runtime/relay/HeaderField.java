package io.sapphirestack.runtime.relay;

/**
 * Header field of a request or an answer.
 *
 * @param name name; upper and lower case are equal
 * @param value value
 */
public record HeaderField(String name, String value) {}
