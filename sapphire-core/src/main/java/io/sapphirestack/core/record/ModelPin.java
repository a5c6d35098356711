package io.sapphirestack.core.record;

import java.util.Objects;

/**
 * Exact model variant. A generation keeps its variant until it ends.
 *
 * @param model base model
 * @param adapter adapter that is applied to the model, empty for none
 * @param version version of model and adapter
 */
public record ModelPin(String model, String adapter, String version) {

    /** Checks the components for {@code null}. */
    public ModelPin {
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(adapter, "adapter");
        Objects.requireNonNull(version, "version");
    }

    @Override
    public String toString() {
        return model + (adapter.isEmpty() ? "" : "+" + adapter) + "@" + version;
    }
}
