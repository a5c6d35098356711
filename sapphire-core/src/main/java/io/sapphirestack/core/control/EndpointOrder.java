package io.sapphirestack.core.control;

import io.sapphirestack.core.record.ModelPin;
import java.util.Objects;

/**
 * Order of the control leader to an engine.
 *
 * @param action action that the engine performs
 * @param pin model variant to load or unload; for a role change, the variant that the role applies
 *     to
 * @param role new role, empty unless the action is {@link Action#CHANGE_ROLE}
 * @param weightBytes size of the model weights to fetch, in bytes
 */
public record EndpointOrder(Action action, ModelPin pin, String role, long weightBytes) {

    /** Validates the components. */
    public EndpointOrder {
        Objects.requireNonNull(action, "action");
        Objects.requireNonNull(pin, "pin");
        Objects.requireNonNull(role, "role");
    }

    /** Action of an engine. */
    public enum Action {
        /** Fetches the weights and serves the variant. */
        LOAD,
        /** Stops serving the variant and frees its memory. */
        UNLOAD,
        /** Changes the role of the engine. */
        CHANGE_ROLE
    }
}
