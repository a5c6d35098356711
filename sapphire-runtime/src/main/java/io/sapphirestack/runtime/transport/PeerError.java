package io.sapphirestack.runtime.transport;

/**
 * Body of an error frame.
 *
 * @param step operation that failed
 * @param peer other side of that operation, as seen by the instance that sends the error
 * @param message what went wrong
 */
record PeerError(String step, String peer, String message) {}
