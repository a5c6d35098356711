package io.sapphirestack.core.relay;

import io.sapphirestack.core.membership.MergedEndpointState;
import io.sapphirestack.core.routing.EndpointState;
import io.sapphirestack.core.time.MillisClock;
import java.util.Collection;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.DoubleSupplier;
import java.util.stream.Collectors;

/**
 * Signals that endpoints sent to this instance, by process of the endpoint: a new process at the
 * same address or with the same identifier has no state.
 *
 * <p>An endpoint that is leaving gets no more requests. An endpoint that named a back-off gets none
 * until its end; after that, its share of the requests is restored in steps, because all instances
 * resume at about the same time. Answers endpoints that are overloaded, paused or replaced under
 * full load. Thread-safe; reads take no lock.
 */
public final class EndpointSignalTable {

    /** Shares of the requests that an endpoint gets in the steps after a back-off, 0 to 1. */
    private static final double[] RECOVERY_SHARES = {0.1, 0.3, 0.6};

    /**
     * Length of a step after a back-off, in milliseconds. The prefill of a long prompt takes about
     * as long, so the effect of a step is known before the next one.
     */
    static final long RECOVERY_STEP_MS = 1_000;

    /**
     * Time for which the state of a process that is no longer announced is kept, in milliseconds,
     * so that a process whose announcements were late does not lose it.
     */
    static final long RETENTION_MS = 60_000;

    /** Shortest time after which a refused caller is asked to come back, in milliseconds. */
    static final long MIN_RETRY_AFTER_MS = 100;

    /** Largest part of a back-off by which the return of a refused caller is delayed further. */
    static final double RETRY_AFTER_JITTER = 0.25;

    private static final State EMPTY =
            new State(0, Optional.empty(), 0, false, OptionalLong.empty(), Set.of());

    private final Settings settings;
    private final DoubleSupplier random;
    private final MillisClock clock;
    private final Map<Integer, State> byHandle = new ConcurrentHashMap<>();
    private volatile boolean restricting;

    /**
     * Creates an empty table.
     *
     * @param settings limits on the signals
     * @param random returns random numbers from 0 (inclusive) to 1 (exclusive)
     * @param clock monotonic clock
     */
    public EndpointSignalTable(Settings settings, DoubleSupplier random, MillisClock clock) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.random = Objects.requireNonNull(random, "random");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Limits on the signals of endpoints.
     *
     * @param maxBackoffMs longest back-off that an endpoint may name, in milliseconds, at least 0
     */
    public record Settings(long maxBackoffMs) {

        /** Limits that hold unless the settings of the instance name others. */
        public static final Settings DEFAULT = new Settings(30_000);

        /**
         * Checks the range.
         *
         * @throws IllegalArgumentException if the limit is negative
         */
        public Settings {
            if (maxBackoffMs < 0) {
                throw new IllegalArgumentException(
                        "maxBackoffMs must not be negative, not " + maxBackoffMs);
            }
        }
    }

    /**
     * How a response changed what is known of its endpoint.
     *
     * @param leavingBegan whether the endpoint is leaving and was not before
     * @param backoffBeganMs length of a back-off that began, in milliseconds; empty if none did
     * @param newlyMalformed malformed fields that this process had not sent before
     */
    public record Change(
            boolean leavingBegan,
            OptionalLong backoffBeganMs,
            Set<EndpointSignals.Field> newlyMalformed) {}

    private record State(
            long keptAtMs,
            Optional<ReportedLoad> load,
            long loadAtMs,
            boolean isLeaving,
            OptionalLong backoffUntilMs,
            Set<EndpointSignals.Field> malformed) {

        /** Returns the time until the end of the back-off in milliseconds, 0 if it has ended. */
        long backoffMs(long nowMs) {
            return backoffUntilMs.isEmpty() ? 0 : Math.max(0, backoffUntilMs.getAsLong() - nowMs);
        }

        boolean isBlocked(long nowMs) {
            return isLeaving || backoffMs(nowMs) > 0;
        }

        /** Returns the share of the requests that the endpoint gets, 0 to 1. */
        double share(long nowMs) {
            if (isBlocked(nowMs)) {
                return 0;
            }
            if (backoffUntilMs.isEmpty()) {
                return 1;
            }
            long step = (nowMs - backoffUntilMs.getAsLong()) / RECOVERY_STEP_MS;
            return step < RECOVERY_SHARES.length ? RECOVERY_SHARES[(int) step] : 1;
        }

        boolean isRestricted(long nowMs) {
            return share(nowMs) < 1;
        }

        State keptAt(long nowMs) {
            return new State(nowMs, load, loadAtMs, isLeaving, backoffUntilMs, malformed);
        }
    }

    private static int handleOf(EndpointState endpoint) {
        return MergedEndpointState.handleOf(endpoint.id(), endpoint.epochMs());
    }

    private State stateOf(EndpointState endpoint) {
        return byHandle.getOrDefault(handleOf(endpoint), EMPTY);
    }

    /**
     * Records the signals of a response. A response without a signal ends neither a back-off nor
     * the leaving of a process, because it may have been sent before the one that began it.
     *
     * @param endpoint endpoint that sent the response
     * @param signals signals in the response
     * @return what has changed
     */
    public Change record(EndpointState endpoint, EndpointSignals signals) {
        long nowMs = clock.nowMs();
        int handle = handleOf(endpoint);
        State[] previous = new State[1];
        State next =
                byHandle.compute(
                        handle,
                        (key, known) -> {
                            previous[0] = known == null ? EMPTY : known;
                            return merge(previous[0], signals, nowMs);
                        });
        if (next.isRestricted(nowMs)) {
            markRestricting();
        }
        return change(previous[0], next, nowMs);
    }

    /** Takes the lock of {@link #retain}, whose scan may have missed the new state. */
    private synchronized void markRestricting() {
        restricting = true;
    }

    private State merge(State known, EndpointSignals signals, long nowMs) {
        Set<EndpointSignals.Field> malformed = EnumSet.noneOf(EndpointSignals.Field.class);
        malformed.addAll(known.malformed());
        malformed.addAll(signals.malformed());
        return new State(
                nowMs,
                signals.load().or(known::load),
                signals.load().isPresent() ? nowMs : known.loadAtMs(),
                known.isLeaving() || signals.isLeaving(),
                laterBackoff(known, signals.backoffMs(), nowMs),
                malformed);
    }

    /** A response may be overtaken by a later one, so a back-off is only ever extended. */
    private OptionalLong laterBackoff(State known, OptionalLong backoffMs, long nowMs) {
        long boundedMs = Math.min(backoffMs.orElse(0), settings.maxBackoffMs());
        return boundedMs > known.backoffMs(nowMs)
                ? OptionalLong.of(nowMs + boundedMs)
                : known.backoffUntilMs();
    }

    private static Change change(State previous, State next, long nowMs) {
        boolean backoffBegan = previous.backoffMs(nowMs) == 0 && next.backoffMs(nowMs) > 0;
        Set<EndpointSignals.Field> malformed = EnumSet.noneOf(EndpointSignals.Field.class);
        malformed.addAll(next.malformed());
        malformed.removeAll(previous.malformed());
        return new Change(
                next.isLeaving() && !previous.isLeaving(),
                backoffBegan ? OptionalLong.of(next.backoffMs(nowMs)) : OptionalLong.empty(),
                malformed);
    }

    /**
     * Returns the latest load that an endpoint reported.
     *
     * @param endpoint endpoint
     * @return load with its age, empty if the process has not reported any to this instance
     */
    public Optional<ObservedLoad> load(EndpointState endpoint) {
        State state = stateOf(endpoint);
        long ageMs = Math.max(0, clock.nowMs() - state.loadAtMs());
        return state.load()
                .map(
                        load ->
                                new ObservedLoad(
                                        load.running(),
                                        load.waiting(),
                                        load.slots(),
                                        load.pacePercent(),
                                        ageMs));
    }

    /**
     * Returns whether no request may be sent to an endpoint.
     *
     * @param endpoint endpoint
     * @return whether it is leaving or in back-off
     */
    public boolean isBlocked(EndpointState endpoint) {
        return restricting && stateOf(endpoint).isBlocked(clock.nowMs());
    }

    /**
     * Returns the endpoints that may be chosen for one request. Those whose back-off has ended
     * recently are removed with a probability that decreases in steps, unless no other one is left.
     *
     * @param endpoints endpoints of one service
     * @return some of them, in the same order; none if all are leaving or in back-off
     */
    public List<EndpointState> available(List<EndpointState> endpoints) {
        if (!restricting) {
            return endpoints;
        }
        long nowMs = clock.nowMs();
        List<EndpointState> permitted =
                endpoints.stream().filter(e -> !stateOf(e).isBlocked(nowMs)).toList();
        List<EndpointState> selected =
                permitted.stream().filter(e -> isSelected(stateOf(e).share(nowMs))).toList();
        return selected.isEmpty() ? permitted : selected;
    }

    private boolean isSelected(double share) {
        return share >= 1 || random.getAsDouble() < share;
    }

    /**
     * Returns when a refused caller should come back: at the earliest end of a back-off, with
     * jitter, so that the callers do not return at the same moment.
     *
     * @param endpoints endpoints of one service
     * @return time in milliseconds, at least {@link #MIN_RETRY_AFTER_MS}; empty if none of them is
     *     in back-off and stays
     */
    public OptionalLong retryAfterMs(Collection<EndpointState> endpoints) {
        long nowMs = clock.nowMs();
        OptionalLong earliestMs =
                endpoints.stream()
                        .map(this::stateOf)
                        .filter(state -> !state.isLeaving() && state.backoffMs(nowMs) > 0)
                        .mapToLong(state -> state.backoffMs(nowMs))
                        .min();
        if (earliestMs.isEmpty()) {
            return earliestMs;
        }
        double jitter = 1 + RETRY_AFTER_JITTER * random.getAsDouble();
        long delayedMs = (long) Math.ceil(earliestMs.getAsLong() * jitter);
        return OptionalLong.of(Math.max(MIN_RETRY_AFTER_MS, delayedMs));
    }

    /**
     * Drops the state of processes that were not announced for {@value #RETENTION_MS} ms.
     *
     * @param known endpoints that are announced now
     */
    public synchronized void retain(Collection<EndpointState> known) {
        long nowMs = clock.nowMs();
        Set<Integer> handles =
                known.stream().map(EndpointSignalTable::handleOf).collect(Collectors.toSet());
        handles.forEach(h -> byHandle.computeIfPresent(h, (key, state) -> state.keptAt(nowMs)));
        byHandle.values().removeIf(state -> nowMs - state.keptAtMs() > RETENTION_MS);
        restricting = byHandle.values().stream().anyMatch(state -> state.isRestricted(nowMs));
    }

    /** Returns the number of endpoint processes that are leaving or in back-off. */
    public int blockedCount() {
        long nowMs = clock.nowMs();
        return (int) byHandle.values().stream().filter(state -> state.isBlocked(nowMs)).count();
    }
}
