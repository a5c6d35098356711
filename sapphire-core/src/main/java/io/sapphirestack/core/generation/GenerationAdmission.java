package io.sapphirestack.core.generation;

import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.id.AccountId;

/** Limit on the running generations of a client account. Implementations are thread-safe. */
@FunctionalInterface
public interface GenerationAdmission {

    /**
     * Counts a generation as running on this instance.
     *
     * @param account client account
     * @param alreadyAccepted whether the generation was accepted before and is taken over; it is
     *     then counted but never refused
     * @return permit to be closed when the generation has ended here
     * @throws RefusedException if a limit of the account is reached
     */
    Permit admit(AccountId account, boolean alreadyAccepted) throws RefusedException;

    /** One running generation. */
    @FunctionalInterface
    interface Permit extends AutoCloseable {
        @Override
        void close();
    }
}
