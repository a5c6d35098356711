package io.sapphirestack.core.relay;

import java.util.List;

/**
 * Client account of a traffic plan.
 *
 * @param name name that endpoints see
 * @param keys keys of its callers
 */
public record RelayedAccount(String name, List<String> keys) {

    /** Copies the list. */
    public RelayedAccount {
        keys = List.copyOf(keys);
    }
}
