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

/** Guards against a stand-in that hides the effect of old orders, or that shows effects of none. */
class ModelHolderTests {

    private static final ModelPin PIN = new ModelPin("m", "", "1");

    private final List<Consumer<Boolean>> fetches = new ArrayList<>();

    private ModelHolder holder(boolean fencingChecked) {
        return new ModelHolder(
                List.of(), fencingChecked, (pin, bytes, ended) -> fetches.add(ended));
    }

    private static EndpointOrder order(Action action) {
        return new EndpointOrder(action, PIN, action == Action.CHANGE_ROLE ? "r" : "", 10);
    }

    @Test
    void oldTokenIsRefusedWhenChecked() throws Exception {
        ModelHolder holder = holder(true);
        holder.take(5, order(Action.LOAD));
        assertThatThrownBy(() -> holder.take(4, order(Action.UNLOAD)))
                .isInstanceOf(EngineRefusal.class);
        holder.take(5, order(Action.LOAD));
        fetches.get(0).accept(true);
        assertThat(holder.loaded()).containsExactly(PIN);
        assertThat(fetches).hasSize(1);
    }

    @Test
    void oldTokenTakesEffectWhenIgnored() throws Exception {
        ModelHolder holder = holder(false);
        holder.take(5, order(Action.LOAD));
        fetches.get(0).accept(true);
        holder.take(4, order(Action.UNLOAD));
        assertThat(holder.loaded()).isEmpty();
        assertThat(holder.highestFencingToken()).isEqualTo(5);
    }

    @Test
    void unloadDuringLoadWins() throws Exception {
        ModelHolder holder = holder(true);
        holder.take(1, order(Action.LOAD));
        holder.take(2, order(Action.UNLOAD));
        fetches.get(0).accept(true);
        assertThat(holder.loaded()).isEmpty();
        holder.take(3, order(Action.LOAD));
        assertThat(holder.loading()).containsExactly(PIN);
        fetches.get(1).accept(false);
        assertThat(holder.isLoaded(PIN)).isFalse();
        holder.take(4, order(Action.CHANGE_ROLE));
        assertThat(holder.role()).isEqualTo("r");
    }
}
