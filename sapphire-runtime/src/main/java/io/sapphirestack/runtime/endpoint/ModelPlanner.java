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
 * Compares the model records with the models loaded on the engines and plans orders to load or
 * unload. The only state kept between calls is the time since which no record refers to a variant.
 * Not thread-safe.
 */
final class ModelPlanner {
    /**
     * How long a variant that no record refers to stays loaded, in milliseconds. Generations that
     * are pinned to it may need it to resume.
     */
    static final long UNREFERENCED_RETENTION_MS = 900_000;

    private final Map<VariantKey, Long> unreferencedSinceMs = new HashMap<>();

    /**
     * Known state of an engine.
     *
     * @param endpoint published state of the engine
     * @param models variants that are loaded
     * @param inProgress variant that is being loaded, if any
     * @param acceptsOrders whether an order may be sent to the engine now
     * @param usable whether the engine counts as a replica: its last report is recent and no stop
     *     is planned
     */
    record Engine(
            EndpointState endpoint,
            Set<ModelPin> models,
            Optional<ModelPin> inProgress,
            boolean acceptsOrders,
            boolean usable) {
        private boolean isIdle() {
            return endpoint.load().running() == 0 && endpoint.load().queued() == 0;
        }
    }

    /**
     * Order to be sent to an engine.
     *
     * @param endpoint engine that receives the order
     * @param order order to send
     */
    record PlannedOrder(EndpointState endpoint, EndpointOrder order) {}

    private record VariantKey(String service, ModelPin pin) implements Comparable<VariantKey> {
        @Override
        public int compareTo(VariantKey other) {
            return toString().compareTo(other.toString());
        }
    }

    /**
     * Plans load and unload orders, at most one per engine.
     *
     * @param models models of the model records
     * @param engines known engines
     * @param nowMs current time on the monotonic clock
     * @return orders in the sequence in which they should be sent: replicas that are missing or
     *     surplus first, then variants that no record refers to
     */
    List<PlannedOrder> plan(Collection<ModelSpec> models, Collection<Engine> engines, long nowMs) {
        Map<VariantKey, ModelSpec> referenced = new TreeMap<>();
        for (ModelSpec model : models) {
            referenced.merge(
                    new VariantKey(model.service(), model.pin()),
                    model,
                    (a, b) -> a.replicas() >= b.replicas() ? a : b);
        }
        List<Engine> engineList = new ArrayList<>(engines);
        engineList.sort(
                Comparator.comparingInt((Engine e) -> e.models().size())
                        .thenComparingInt(e -> e.endpoint().load().running())
                        .thenComparing(e -> e.endpoint().id()));
        List<PlannedOrder> planned = new ArrayList<>();
        referenced.values().stream()
                .filter(model -> model.replicas() > 0)
                .forEach(model -> planReplicas(model, engineList, planned));
        planUnreferenced(referenced, engineList, planned, nowMs);
        return planned;
    }

    private static void planReplicas(
            ModelSpec model, List<Engine> engineList, List<PlannedOrder> planned) {
        int loaded = 0;
        int loading = 0;
        List<Engine> loadCandidates = new ArrayList<>();
        List<Engine> unloadCandidates = new ArrayList<>();
        for (Engine engine : engineList) {
            if (!engine.endpoint().service().equals(model.service()) || !engine.usable()) {
                continue;
            }
            if (engine.models().contains(model.pin())) {
                loaded++;
                if (engine.acceptsOrders() && engine.isIdle()) {
                    unloadCandidates.add(engine);
                }
            } else if (engine.inProgress().equals(Optional.of(model.pin()))) {
                loading++;
            } else if (engine.acceptsOrders()) {
                loadCandidates.add(engine);
            }
        }
        for (int i = 0;
                i < Math.min(model.replicas() - loaded - loading, loadCandidates.size());
                i++) {
            planOrder(loadCandidates.get(i), EndpointOrder.Action.LOAD, model, engineList, planned);
        }
        for (int i = 0; i < Math.min(loaded - model.replicas(), unloadCandidates.size()); i++) {
            Engine candidate = unloadCandidates.get(unloadCandidates.size() - 1 - i);
            planOrder(candidate, EndpointOrder.Action.UNLOAD, model, engineList, planned);
        }
    }

    private static void planOrder(
            Engine engine,
            EndpointOrder.Action action,
            ModelSpec model,
            List<Engine> engineList,
            List<PlannedOrder> planned) {
        long weightBytes = action == EndpointOrder.Action.LOAD ? model.weightBytes() : 0;
        planned.add(
                new PlannedOrder(
                        engine.endpoint(),
                        new EndpointOrder(action, model.pin(), "", weightBytes)));
        engineList.remove(engine);
        engineList.add(
                new Engine(engine.endpoint(), engine.models(), Optional.empty(), false, true));
    }

    /**
     * Plans to unload variants from idle engines if no record has referred to them for {@link
     * #UNREFERENCED_RETENTION_MS}.
     */
    private void planUnreferenced(
            Map<VariantKey, ModelSpec> referenced,
            List<Engine> engineList,
            List<PlannedOrder> planned,
            long nowMs) {
        for (Engine engine : engineList) {
            boolean unloadable = engine.acceptsOrders() && engine.isIdle();
            for (ModelPin pin : engine.models()) {
                VariantKey key = new VariantKey(engine.endpoint().service(), pin);
                if (referenced.containsKey(key)) {
                    continue;
                }
                long sinceMs = unreferencedSinceMs.computeIfAbsent(key, k -> nowMs);
                if (unloadable && nowMs - sinceMs >= UNREFERENCED_RETENTION_MS) {
                    planned.add(
                            new PlannedOrder(
                                    engine.endpoint(),
                                    new EndpointOrder(EndpointOrder.Action.UNLOAD, pin, "", 0)));
                    unloadable = false;
                }
            }
        }
        unreferencedSinceMs.keySet().removeAll(referenced.keySet());
    }

    /** Clears the times since which variants are unreferenced. */
    void reset() {
        unreferencedSinceMs.clear();
    }
}
