package io.sapphirestack.runtime.control;

import io.sapphirestack.core.control.ControlCommand;
import io.sapphirestack.core.record.RecordKey;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/** Reads the version numbers of records without their content. */
@FunctionalInterface
public interface RecordNumberReader {

    /**
     * Reads the number of the newest version of a record written by {@link
     * ControlCommand.PutNewest}: that of every change accepted before the call, or a higher one.
     *
     * @param key key of the record
     * @param timeoutMs timeout of the call including its retries, in milliseconds
     * @return future with the number, empty if there is no such record, or a failure with {@link
     *     ControlException} if no leader could be confirmed
     */
    CompletableFuture<OptionalLong> readNumber(RecordKey key, long timeoutMs);
}
