package io.sapphirestack.core.relay;

import java.util.List;
import java.util.Objects;
import java.util.OptionalInt;

/**
 * Client account of a traffic plan.
 *
 * @param name name under which endpoints see the account
 * @param keys API keys that authenticate its callers; may be empty
 * @param priority priority of its requests, 0 is the highest; takes precedence over that of their
 *     route; empty if the account has none
 */
public record RelayedAccount(String name, List<String> keys, OptionalInt priority) {

    /** Takes an immutable copy of the keys. */
    public RelayedAccount {
        keys = List.copyOf(keys);
        Objects.requireNonNull(priority, "priority");
    }

    /**
     * Creates an account without a priority.
     *
     * @param name name under which endpoints see the account
     * @param keys API keys that authenticate its callers; may be empty
     */
    public RelayedAccount(String name, List<String> keys) {
        this(name, keys, OptionalInt.empty());
    }
}
