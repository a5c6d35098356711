package io.sapphirestack.core.rollout;

import io.sapphirestack.core.record.RolloutSpec;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.core.version.VersionCounts;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

/**
 * Rollouts of the services as one instance knows them, with the state of those in progress. Without
 * a record of a rollout, all calls return at once and keep nothing. Thread-safe.
 */
public final class LocalRollouts {

    private final Supplier<Map<String, RolloutSpec>> records;
    private final MillisClock wallClock;
    private final Map<String, LocalRollout> inProgress = new ConcurrentHashMap<>();

    /**
     * Creates an object without state.
     *
     * @param records returns the last rollout of each service from the latest known record
     * @param wallClock clock of Unix time
     */
    public LocalRollouts(Supplier<Map<String, RolloutSpec>> records, MillisClock wallClock) {
        this.records = Objects.requireNonNull(records, "records");
        this.wallClock = Objects.requireNonNull(wallClock, "wallClock");
    }

    /** Returns an object that never knows a rollout. */
    public static LocalRollouts none() {
        return new LocalRollouts(Map::of, () -> 0);
    }

    /**
     * Returns the last rollout of a service.
     *
     * @param service name of the service
     * @return rollout, empty if none was ever ordered
     */
    public Optional<RolloutSpec> last(String service) {
        return Optional.ofNullable(records.get().get(service));
    }

    /** Returns the rollouts in progress by service. */
    public Map<String, RolloutSpec> inProgress() {
        Map<String, RolloutSpec> result = new HashMap<>();
        records.get()
                .forEach(
                        (service, rollout) -> {
                            if (rollout.isInProgress()) {
                                result.put(service, rollout);
                            }
                        });
        return result;
    }

    /**
     * Returns the state of a rollout in progress at this instance.
     *
     * @param rollout rollout in progress
     * @return its state; a new one for a new order
     */
    public LocalRollout state(RolloutSpec rollout) {
        LocalRollout known = inProgress.get(rollout.service());
        if (known != null && known.isOf(rollout)) {
            return known;
        }
        return inProgress.compute(
                rollout.service(),
                (service, old) ->
                        old != null && old.isOf(rollout)
                                ? old
                                : new LocalRollout(rollout, wallClock));
    }

    /**
     * Returns the share of the requests that the new version gets at this instance.
     *
     * @param rollout last rollout of the service
     * @return share from 0 to 1; 0 if this instance has stopped using the version
     */
    public double share(RolloutSpec rollout) {
        return !rollout.isInProgress() || state(rollout).isStopped() ? 0 : rollout.share();
    }

    /** Returns the counts that other instances have to know; none without a rollout. */
    public Map<Integer, VersionCounts> counts() {
        Map<String, RolloutSpec> current = inProgress();
        inProgress.keySet().retainAll(current.keySet());
        Map<Integer, VersionCounts> counts = new HashMap<>();
        current.values().forEach(rollout -> counts.putAll(state(rollout).counts()));
        return counts;
    }

    /** Returns the number of versions in progress that this instance has stopped using. */
    public long stoppedCount() {
        return inProgress.values().stream().filter(LocalRollout::isStopped).count();
    }
}
