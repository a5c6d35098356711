package io.sapphirestack.runtime.http;

import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.id.AccountId;
import io.sapphirestack.core.record.AccountSpec;

/** Limits the requests per second of a client account. Thread-safe. */
@FunctionalInterface
public interface RequestAdmission {

    /**
     * Admits a request, or refuses it if a limit of its client account is reached.
     *
     * @param account client account that sent the request
     * @param spec record of the client account
     * @throws RefusedException if a limit is reached; the request must not be executed
     */
    void admit(AccountId account, AccountSpec spec) throws RefusedException;
}
