package io.sapphirestack.runtime.control;

import io.sapphirestack.core.record.ConfigRecord;
import io.sapphirestack.core.record.RecordKey;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Reads records of the control log without a change of it. */
@FunctionalInterface
public interface RecordReader {

    /**
     * Reads the newest version of a record: it contains every change accepted before the call.
     *
     * @param key key of the record
     * @param timeoutMs timeout of the call including its retries, in milliseconds
     * @return future with the record, empty if there is none, or a failure with {@link
     *     ControlException} if no leader could be confirmed
     */
    CompletableFuture<Optional<ConfigRecord>> readRecord(RecordKey key, long timeoutMs);
}
