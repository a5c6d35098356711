package io.sapphirestack.runtime.transport;

/**
 * Body of an error frame.
 *
 * @param step operation that failed
 * @param peer other side of that operation, as the instance saw that answered
 * @param message what went wrong
 */
record PeerError(String step, String peer, String message) {}
