package io.sapphirestack.core.relay;

import io.sapphirestack.core.routing.EndpointState;
import java.util.Collection;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;

/**
 * Speeds of endpoints relative to the others of their service, learned from the durations of the
 * plain requests of this instance there. Answers services whose machines differ by a factor of up
 * to {@value #MAX_SLOWDOWN}.
 *
 * <p>Speeds are kept by address, because they belong to the machine: endpoints that restart often
 * would otherwise never be known. Logarithms are averaged, so that single long requests have little
 * effect. Thread-safe.
 */
public final class EndpointSpeeds {

    /** Largest factor by which an endpoint counts as slower or faster than its service. */
    static final double MAX_SLOWDOWN = 2.5;

    /** Weight at which what was observed counts as much as the assumption of equal speeds. */
    static final double PRIOR_WEIGHT = 3;

    /** Largest weight of earlier observations, so that a change of speed is learned. */
    static final double MAX_WEIGHT = 30;

    /** Largest factor to the usual duration at which the work is comparable. */
    static final double MAX_RATIO = 4;

    private final Map<String, Average> byAddress = new ConcurrentHashMap<>();

    /** Weight of one duration; its scatter is about as large as its mean. */
    private static final double OBSERVED_WEIGHT = 0.03;

    private final Map<String, Average> byService = new ConcurrentHashMap<>();

    /** Weighted average of logarithms. */
    private record Average(double value, double weight) {

        Average with(double observed, double observedWeight, double maxWeight) {
            double total = Math.min(weight, maxWeight) + observedWeight;
            return new Average(value + (observed - value) * observedWeight / total, total);
        }
    }

    /**
     * Records a duration.
     *
     * @param endpoint endpoint that did the work
     * @param durationMs duration in milliseconds; less than 1 counts as 1
     */
    public void record(EndpointState endpoint, double durationMs) {
        double log = Math.log(Math.max(1, durationMs));
        Average service =
                byService.merge(
                        endpoint.service(),
                        new Average(log, OBSERVED_WEIGHT),
                        (known, first) -> known.with(log, OBSERVED_WEIGHT, 10 * MAX_WEIGHT));
        double difference = log - service.value();
        if (Math.abs(difference) > Math.log(MAX_RATIO)) {
            return;
        }
        byAddress.merge(
                endpoint.address(),
                new Average(difference, OBSERVED_WEIGHT),
                (known, first) -> known.with(difference, OBSERVED_WEIGHT, MAX_WEIGHT));
    }

    /**
     * Returns how slow an endpoint is.
     *
     * @param endpoint endpoint
     * @return factor of its durations to the usual ones of its service, from 1 / {@value
     *     #MAX_SLOWDOWN} to {@value #MAX_SLOWDOWN}; 1 if the endpoint is not known
     */
    public double slowdown(EndpointState endpoint) {
        Average average = byAddress.get(endpoint.address());
        if (average == null) {
            return 1;
        }
        double confidence = average.weight() / (average.weight() + PRIOR_WEIGHT);
        double limit = Math.log(MAX_SLOWDOWN);
        return Math.exp(Math.max(-limit, Math.min(limit, average.value() * confidence)));
    }

    /**
     * Drops the speeds of endpoints that no longer exist.
     *
     * @param known existing endpoints
     */
    public void retain(Collection<EndpointState> known) {
        Set<String> addresses =
                known.stream().map(EndpointState::address).collect(Collectors.toSet());
        byAddress.keySet().retainAll(addresses);
        Set<String> services =
                known.stream().map(EndpointState::service).collect(Collectors.toSet());
        byService.keySet().retainAll(services);
    }
}
