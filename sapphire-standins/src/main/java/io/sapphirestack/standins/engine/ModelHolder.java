package io.sapphirestack.standins.engine;

import io.sapphirestack.core.control.EndpointOrder;
import io.sapphirestack.core.record.ModelPin;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Variants that an engine holds and the orders that change them. Weights are fetched
 * asynchronously. Thread-safe.
 */
final class ModelHolder {

    private final boolean fencingChecked;
    private final WeightFetcher fetcher;
    private final Set<ModelPin> loaded = new HashSet<>();
    private final Map<ModelPin, Long> loading = new HashMap<>();
    private String role = "";
    private long highestFencingToken;
    private long loads;

    /**
     * Creates a holder.
     *
     * @param initial variants that are loaded at the start
     * @param fencingChecked whether an order with an old fencing token is refused
     * @param fetcher fetches weights
     */
    ModelHolder(List<ModelPin> initial, boolean fencingChecked, WeightFetcher fetcher) {
        this.loaded.addAll(initial);
        this.fencingChecked = fencingChecked;
        this.fetcher = fetcher;
    }

    /**
     * Takes an order; a load goes on after the return.
     *
     * @param fencingToken token of the order
     * @param order what to do
     * @throws EngineRefusal if the token is lower than the highest one and tokens are checked
     */
    void take(long fencingToken, EndpointOrder order) throws EngineRefusal {
        long load;
        synchronized (this) {
            if (fencingChecked && fencingToken < highestFencingToken) {
                throw new EngineRefusal(409, "fenced");
            }
            highestFencingToken = Math.max(highestFencingToken, fencingToken);
            switch (order.action()) {
                case UNLOAD -> {
                    loaded.remove(order.pin());
                    loading.remove(order.pin());
                    return;
                }
                case CHANGE_ROLE -> {
                    role = order.role();
                    return;
                }
                default -> {
                    if (loaded.contains(order.pin()) || loading.containsKey(order.pin())) {
                        return;
                    }
                    load = ++loads;
                    loading.put(order.pin(), load);
                }
            }
        }
        fetcher.fetch(
                order.pin(), order.weightBytes(), success -> ended(order.pin(), load, success));
    }

    /** Ends a load, unless an unload or a newer load has replaced it. */
    private synchronized void ended(ModelPin pin, long load, boolean success) {
        if (loading.remove(pin, load) && success) {
            loaded.add(pin);
        }
    }

    synchronized boolean isLoaded(ModelPin pin) {
        return loaded.contains(pin);
    }

    synchronized List<ModelPin> loaded() {
        return new ArrayList<>(loaded);
    }

    synchronized List<ModelPin> loading() {
        return new ArrayList<>(loading.keySet());
    }

    synchronized String role() {
        return role;
    }

    synchronized long highestFencingToken() {
        return highestFencingToken;
    }

    /** Fetches weights without blocking the caller. */
    @FunctionalInterface
    interface WeightFetcher {

        /**
         * Starts a fetch.
         *
         * @param pin variant
         * @param bytes size of the weights
         * @param ended called once with whether all bytes came
         */
        void fetch(ModelPin pin, long bytes, java.util.function.Consumer<Boolean> ended);
    }
}
