package io.sapphirestack.core.replication;

/**
 * Result of a read request to the leader.
 *
 * @param id number that was given to the request
 * @param confirmed whether a majority confirmed the leadership after the request
 * @param index entry up to which the state must be applied before it is read; 0 if not confirmed
 */
public record ReadResult(long id, boolean confirmed, long index) {}
