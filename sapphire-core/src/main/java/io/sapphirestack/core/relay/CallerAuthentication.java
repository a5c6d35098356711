package io.sapphirestack.core.relay;

import java.util.List;

/**
 * How the callers of a traffic plan authenticate. A plan without accounts and a plan whose last
 * account was removed are two different plans: the first one asks for no key, the second one knows
 * none.
 */
public sealed interface CallerAuthentication {

    /** Returns the authentication of a plan that names no accounts: requests need no key. */
    static CallerAuthentication none() {
        return new None();
    }

    /**
     * Returns the authentication by the API keys of accounts: requests need a key, unless their
     * route is open.
     *
     * @param accounts client accounts; if there are none, every key is unknown
     */
    static CallerAuthentication byKeysOf(List<RelayedAccount> accounts) {
        return new ApiKeys(accounts);
    }

    /** Returns whether requests need a key on routes that are not open. */
    boolean needsKeys();

    /** Returns the client accounts, possibly none. */
    List<RelayedAccount> accounts();

    /** Requests need no key. */
    record None() implements CallerAuthentication {

        @Override
        public boolean needsKeys() {
            return false;
        }

        @Override
        public List<RelayedAccount> accounts() {
            return List.of();
        }
    }

    /**
     * Requests need the key of an account.
     *
     * @param accounts client accounts, possibly none
     */
    record ApiKeys(List<RelayedAccount> accounts) implements CallerAuthentication {

        /** Takes an immutable copy of the accounts. */
        public ApiKeys {
            accounts = List.copyOf(accounts);
        }

        @Override
        public boolean needsKeys() {
            return true;
        }
    }
}
