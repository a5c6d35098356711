package io.sapphirestack.core.replication;

/** Durable storage of one node. Not thread-safe; used only by the thread that runs the node. */
public interface LogStore extends AutoCloseable {

    /**
     * Reads the stored state. If no hard state is stored, creates one with a new random identity
     * and makes it durable first.
     *
     * @return the stored state
     * @throws DamagedLogException if the content of the storage is damaged
     * @throws LogStoreException if the storage cannot be read or refuses writes
     */
    StoredState load() throws LogStoreException;

    /**
     * Makes a batch durable. After this method has returned, the batch survives a crash.
     *
     * @param batch changes to store
     * @throws LogStoreException if a part of the batch may not be durable; the node must then stop
     *     and the storage be loaded again
     */
    void persist(PersistBatch batch) throws LogStoreException;

    @Override
    void close() throws LogStoreException;
}
