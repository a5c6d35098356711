package io.sapphirestack.core.replication;

/** Durable storage of one node. Not thread-safe; used by the thread that runs the node. */
public interface LogStore extends AutoCloseable {

    /**
     * Reads everything that is stored. A storage without a hard state creates one with a new random
     * identity and makes it durable first.
     *
     * @return content of the storage
     * @throws LogStoreException if the storage cannot be read or is damaged
     */
    StoredState load() throws LogStoreException;

    /**
     * Makes a batch durable. When the call returns, the content survives a crash.
     *
     * @param batch what to store
     * @throws LogStoreException if anything may not be durable; the node must stop then
     */
    void persist(PersistBatch batch) throws LogStoreException;

    @Override
    void close() throws LogStoreException;
}
