package io.sapphirestack.core.replication;

/**
 * Result of a request to confirm a read.
 *
 * @param id identifier of the request
 * @param confirmed whether a majority confirmed the leadership after the request was made
 * @param index index of the log entry that must be applied before the state is read; 0 if not
 *     confirmed
 */
public record ReadResult(long id, boolean confirmed, long index) {}
