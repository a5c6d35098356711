package io.sapphirestack.core.generation;

import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.id.AccountId;

/**
 * Limits the number of running generations of a client account. Implementations are thread-safe.
 */
@FunctionalInterface
public interface GenerationAdmission {

    /**
     * Counts a generation as running on this instance until the permit is closed.
     *
     * @param account client account
     * @param alreadyAccepted whether the generation was accepted earlier and this instance takes it
     *     over; it is then counted but never refused
     * @return permit to close when the generation no longer runs on this instance
     * @throws RefusedException if a limit of the account is reached
     */
    Permit admit(AccountId account, boolean alreadyAccepted) throws RefusedException;

    /** Place of one running generation; closing it releases the place. */
    @FunctionalInterface
    interface Permit extends AutoCloseable {
        @Override
        void close();
    }
}
