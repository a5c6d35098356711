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
 * Variants that an engine has loaded or is loading, changed by endpoint orders. Weights are fetched
 * asynchronously. Thread-safe.
 */
final class ModelRegistry {

    private final boolean fencingChecked;
    private final WeightFetcher fetcher;
    private final Set<ModelPin> loadedModels = new HashSet<>();
    private final Map<ModelPin, Long> loadingModels = new HashMap<>();
    private String role = "";
    private long highestFencingToken;
    private long loadCount;

    /**
     * Creates a registry.
     *
     * @param initialModels variants that are loaded at startup
     * @param fencingChecked whether an order with a fencing token lower than the highest one seen
     *     is refused
     * @param fetcher fetches weights
     */
    ModelRegistry(List<ModelPin> initialModels, boolean fencingChecked, WeightFetcher fetcher) {
        this.loadedModels.addAll(initialModels);
        this.fencingChecked = fencingChecked;
        this.fetcher = fetcher;
    }

    /**
     * Executes an order. A load continues after this method has returned.
     *
     * @param fencingToken fencing token of the order
     * @param order order to execute
     * @throws EngineRefusalException if fencing is checked and the token is lower than the highest
     *     one seen
     */
    void execute(long fencingToken, EndpointOrder order) throws EngineRefusalException {
        long loadNumber;
        synchronized (this) {
            if (fencingChecked && fencingToken < highestFencingToken) {
                throw new EngineRefusalException(409, "fenced");
            }
            highestFencingToken = Math.max(highestFencingToken, fencingToken);
            switch (order.action()) {
                case UNLOAD -> {
                    loadedModels.remove(order.pin());
                    loadingModels.remove(order.pin());
                    return;
                }
                case CHANGE_ROLE -> {
                    role = order.role();
                    return;
                }
                default -> {
                    if (loadedModels.contains(order.pin())
                            || loadingModels.containsKey(order.pin())) {
                        return;
                    }
                    loadNumber = ++loadCount;
                    loadingModels.put(order.pin(), loadNumber);
                }
            }
        }
        fetcher.fetch(
                order.pin(),
                order.weightBytes(),
                success -> completeLoad(order.pin(), loadNumber, success));
    }

    /** Marks a fetch as ended, unless an unload or a newer load has replaced it. */
    private synchronized void completeLoad(ModelPin pin, long loadNumber, boolean success) {
        if (loadingModels.remove(pin, loadNumber) && success) {
            loadedModels.add(pin);
        }
    }

    synchronized boolean isLoaded(ModelPin pin) {
        return loadedModels.contains(pin);
    }

    synchronized List<ModelPin> loadedModels() {
        return new ArrayList<>(loadedModels);
    }

    synchronized List<ModelPin> loadingModels() {
        return new ArrayList<>(loadingModels.keySet());
    }

    synchronized String role() {
        return role;
    }

    synchronized long highestFencingToken() {
        return highestFencingToken;
    }

    /** Fetches weights asynchronously. */
    @FunctionalInterface
    interface WeightFetcher {

        /**
         * Starts a fetch.
         *
         * @param pin variant whose weights are fetched
         * @param bytes size of the weights in bytes
         * @param onEnd called exactly once, with {@code true} if all bytes were received
         */
        void fetch(ModelPin pin, long bytes, java.util.function.Consumer<Boolean> onEnd);
    }
}
