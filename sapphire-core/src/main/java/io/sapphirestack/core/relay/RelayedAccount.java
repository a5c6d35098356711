package io.sapphirestack.core.relay;

import java.util.List;

/**
 * Client account of a traffic plan.
 *
 * @param name name under which endpoints see the account
 * @param keys API keys that authenticate its callers; may be empty
 */
public record RelayedAccount(String name, List<String> keys) {

    /** Takes an immutable copy of the keys. */
    public RelayedAccount {
        keys = List.copyOf(keys);
    }
}
