package io.sapphirestack.standins.support;

/**
 * Event or comment of a server-sent event stream.
 *
 * @param id value of the {@code id} field, empty if there is none
 * @param event value of the {@code event} field, empty if there is none
 * @param data lines of the {@code data} fields, joined by line feeds; empty for a comment
 * @param comment whether this is a comment line, such as a keep-alive, rather than an event
 */
public record SseEvent(String id, String event, String data, boolean comment) {}
