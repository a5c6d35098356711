package io.sapphirestack.core.control;

import io.sapphirestack.core.record.ModelPin;
import java.util.Objects;

/**
 * Order to an engine.
 *
 * @param action what the engine does
 * @param pin model variant that is loaded or unloaded; for a role change, the variant that the role
 *     applies to
 * @param role new role, empty unless {@link Action#CHANGE_ROLE}
 * @param weightBytes size of the weights to fetch, in bytes
 */
public record EndpointOrder(Action action, ModelPin pin, String role, long weightBytes) {

    /** Checks the components. */
    public EndpointOrder {
        Objects.requireNonNull(action, "action");
        Objects.requireNonNull(pin, "pin");
        Objects.requireNonNull(role, "role");
    }

    /** Kinds of orders to an engine. */
    public enum Action {
        /** Fetch the weights and serve the variant. */
        LOAD,
        /** Stop serving the variant and free its memory. */
        UNLOAD,
        /** Take another role. */
        CHANGE_ROLE
    }
}
