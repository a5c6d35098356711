package io.sapphirestack.core.limit;

import java.util.concurrent.ConcurrentHashMap;

/**
 * Counts the bytes of messages by client account and limits them, so that one account whose callers
 * read slowly cannot hold all memory. Thread-safe. An account without bytes takes no memory here.
 */
final class AccountMemory {

    private final long limitBytes;
    private final ConcurrentHashMap<String, Long> heldBytes = new ConcurrentHashMap<>();

    /**
     * Creates an empty table.
     *
     * @param limitBytes maximum number of bytes of one account
     */
    AccountMemory(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Adds bytes of an account; returns whether they are within its limit and were added. */
    boolean tryAdd(String account, long bytes) {
        if (heldBytes.merge(account, bytes, Long::sum) <= limitBytes) {
            return true;
        }
        remove(account, bytes);
        return false;
    }

    /** Removes bytes that were added before. */
    void remove(String account, long bytes) {
        heldBytes.computeIfPresent(account, (name, held) -> held == bytes ? null : held - bytes);
    }
}
