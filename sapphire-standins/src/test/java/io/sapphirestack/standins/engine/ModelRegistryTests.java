package io.sapphirestack.standins.engine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.sapphirestack.core.control.EndpointOrder;
import io.sapphirestack.core.control.EndpointOrder.Action;
import io.sapphirestack.core.record.ModelPin;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * Guards against an engine that executes stale orders although fencing is checked, refuses them
 * although it is not, or applies a load that an unload has replaced.
 */
class ModelRegistryTests {

    private static final ModelPin PIN = new ModelPin("m", "", "1");

    private final List<Consumer<Boolean>> fetches = new ArrayList<>();

    private ModelRegistry registry(boolean fencingChecked) {
        return new ModelRegistry(
                List.of(), fencingChecked, (pin, bytes, onEnd) -> fetches.add(onEnd));
    }

    private static EndpointOrder order(Action action) {
        return new EndpointOrder(action, PIN, action == Action.CHANGE_ROLE ? "r" : "", 10);
    }

    @Test
    void staleFencingTokenIsRefusedIfFencingIsChecked() throws Exception {
        ModelRegistry registry = registry(true);
        registry.execute(5, order(Action.LOAD));
        assertThatThrownBy(() -> registry.execute(4, order(Action.UNLOAD)))
                .isInstanceOf(EngineRefusalException.class);
        registry.execute(5, order(Action.LOAD));
        fetches.get(0).accept(true);
        assertThat(registry.loadedModels()).containsExactly(PIN);
        assertThat(fetches).hasSize(1);
    }

    @Test
    void staleFencingTokenIsAcceptedIfFencingIsIgnored() throws Exception {
        ModelRegistry registry = registry(false);
        registry.execute(5, order(Action.LOAD));
        fetches.get(0).accept(true);
        registry.execute(4, order(Action.UNLOAD));
        assertThat(registry.loadedModels()).isEmpty();
        assertThat(registry.highestFencingToken()).isEqualTo(5);
    }

    @Test
    void unloadCancelsALoadInProgress() throws Exception {
        ModelRegistry registry = registry(true);
        registry.execute(1, order(Action.LOAD));
        registry.execute(2, order(Action.UNLOAD));
        fetches.get(0).accept(true);
        assertThat(registry.loadedModels()).isEmpty();
        registry.execute(3, order(Action.LOAD));
        assertThat(registry.loadingModels()).containsExactly(PIN);
        fetches.get(1).accept(false);
        assertThat(registry.isLoaded(PIN)).isFalse();
        registry.execute(4, order(Action.CHANGE_ROLE));
        assertThat(registry.role()).isEqualTo("r");
    }
}
