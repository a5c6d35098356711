package io.sapphirestack.runtime.endpoint;

import io.sapphirestack.core.control.EndpointOrder;
import io.sapphirestack.core.record.ModelPin;
import io.sapphirestack.core.record.ModelSpec;
import io.sapphirestack.core.routing.EndpointState;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Compares model records with the state of the engines. Pure function of its arguments, except that
 * it remembers since when a variant has not been named by any record. Not thread-safe.
 */
final class ModelPlanner {
    /**
     * How long a variant that no record names stays loaded, in milliseconds. Generations that are
     * pinned to it may still need it to resume.
     */
    static final long RETIRE_AFTER_MS = 900_000;

    private final Map<VariantKey, Long> unnamedSinceMs = new HashMap<>();

    /**
     * State of an engine as far as it is known.
     *
     * @param endpoint published state
     * @param models variants that are loaded
     * @param inProgress variant that is being loaded, if any
     * @param free whether an order may be given now
     * @param usable whether the engine counts as a replica: heard recently and not stopping
     */
    record Engine(
            EndpointState endpoint,
            Set<ModelPin> models,
            Optional<ModelPin> inProgress,
            boolean free,
            boolean usable) {
        private boolean isIdle() {
            return endpoint.load().running() == 0 && endpoint.load().queued() == 0;
        }
    }

    /**
     * An order that should be given.
     *
     * @param endpoint engine
     * @param order what it does
     */
    record Planned(EndpointState endpoint, EndpointOrder order) {}

    private record VariantKey(String service, ModelPin pin) implements Comparable<VariantKey> {
        @Override
        public int compareTo(VariantKey other) {
            return toString().compareTo(other.toString());
        }
    }

    /**
     * Plans orders, at most one per engine.
     *
     * @param models content of the model records
     * @param engines known engines
     * @param nowMs current time on the monotonic clock
     * @return orders, most wanted first
     */
    List<Planned> plan(Collection<ModelSpec> models, Collection<Engine> engines, long nowMs) {
        Map<VariantKey, ModelSpec> named = new TreeMap<>();
        for (ModelSpec model : models) {
            named.merge(
                    new VariantKey(model.service(), model.pin()),
                    model,
                    (a, b) -> a.replicas() >= b.replicas() ? a : b);
        }
        List<Engine> left = new ArrayList<>(engines);
        left.sort(
                Comparator.comparingInt((Engine e) -> e.models().size())
                        .thenComparingInt(e -> e.endpoint().load().running())
                        .thenComparing(e -> e.endpoint().id()));
        List<Planned> planned = new ArrayList<>();
        named.values().stream()
                .filter(model -> model.replicas() > 0)
                .forEach(model -> planReplicas(model, left, planned));
        planRetired(named, left, planned, nowMs);
        return planned;
    }

    private static void planReplicas(ModelSpec model, List<Engine> left, List<Planned> planned) {
        int present = 0;
        int coming = 0;
        List<Engine> without = new ArrayList<>();
        List<Engine> surplus = new ArrayList<>();
        for (Engine engine : left) {
            if (!engine.endpoint().service().equals(model.service()) || !engine.usable()) {
                continue;
            }
            if (engine.models().contains(model.pin())) {
                present++;
                if (engine.free() && engine.isIdle()) {
                    surplus.add(engine);
                }
            } else if (engine.inProgress().equals(Optional.of(model.pin()))) {
                coming++;
            } else if (engine.free()) {
                without.add(engine);
            }
        }
        for (int i = 0; i < Math.min(model.replicas() - present - coming, without.size()); i++) {
            add(without.get(i), EndpointOrder.Action.LOAD, model, left, planned);
        }
        for (int i = 0; i < Math.min(present - model.replicas(), surplus.size()); i++) {
            Engine last = surplus.get(surplus.size() - 1 - i);
            add(last, EndpointOrder.Action.UNLOAD, model, left, planned);
        }
    }

    private static void add(
            Engine engine,
            EndpointOrder.Action action,
            ModelSpec model,
            List<Engine> left,
            List<Planned> planned) {
        long weightBytes = action == EndpointOrder.Action.LOAD ? model.weightBytes() : 0;
        planned.add(
                new Planned(
                        engine.endpoint(),
                        new EndpointOrder(action, model.pin(), "", weightBytes)));
        left.remove(engine);
        left.add(new Engine(engine.endpoint(), engine.models(), Optional.empty(), false, true));
    }

    /** Unloads variants from idle engines once no record has named them for long enough. */
    private void planRetired(
            Map<VariantKey, ModelSpec> named,
            List<Engine> left,
            List<Planned> planned,
            long nowMs) {
        for (Engine engine : left) {
            boolean free = engine.free() && engine.isIdle();
            for (ModelPin pin : engine.models()) {
                VariantKey key = new VariantKey(engine.endpoint().service(), pin);
                if (named.containsKey(key)) {
                    continue;
                }
                long sinceMs = unnamedSinceMs.computeIfAbsent(key, k -> nowMs);
                if (free && nowMs - sinceMs >= RETIRE_AFTER_MS) {
                    planned.add(
                            new Planned(
                                    engine.endpoint(),
                                    new EndpointOrder(EndpointOrder.Action.UNLOAD, pin, "", 0)));
                    free = false;
                }
            }
        }
        unnamedSinceMs.keySet().removeAll(named.keySet());
    }

    /** Forgets since when variants are unnamed. */
    void reset() {
        unnamedSinceMs.clear();
    }
}
