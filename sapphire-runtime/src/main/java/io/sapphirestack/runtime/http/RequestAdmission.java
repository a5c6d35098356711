package io.sapphirestack.runtime.http;

import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.id.AccountId;
import io.sapphirestack.core.record.AccountSpec;

/** Limits the requests per second of a client account. Thread-safe. */
@FunctionalInterface
public interface RequestAdmission {

    /**
     * Admits one request.
     *
     * @param account client account that sent it
     * @param spec its record
     * @throws RefusedException if a limit is reached; nothing runs
     */
    void admit(AccountId account, AccountSpec spec) throws RefusedException;
}
