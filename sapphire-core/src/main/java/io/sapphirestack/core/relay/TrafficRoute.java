package io.sapphirestack.core.relay;

import java.util.List;

/**
 * Route of a traffic plan: which requests it selects and how they are served.
 *
 * @param name name that identifies the route in logs
 * @param host host of the requests that it selects
 * @param pathPrefix path prefix of the requests that it selects, with a slash at both ends
 * @param kind whether requests may run more than once and whether responses are streams
 * @param timeoutMs maximum time that a request waits for its response, in milliseconds
 * @param targetLatencyMs target latency of a response or of the first event of a stream, in
 *     milliseconds; 0 if the plan names none
 * @param gapTargetMs target gap between two events of a stream, in milliseconds; 0 if the response
 *     is not a stream
 * @param priority priority, 0 is the highest
 * @param maxAttempts maximum number of attempts of one request
 * @param isOpen whether requests need no key
 * @param targets services among which the requests are divided
 */
public record TrafficRoute(
        String name,
        String host,
        String pathPrefix,
        RequestKind kind,
        long timeoutMs,
        long targetLatencyMs,
        long gapTargetMs,
        int priority,
        int maxAttempts,
        boolean isOpen,
        List<Target> targets) {

    /** Takes an immutable copy of the targets. */
    public TrafficRoute {
        targets = List.copyOf(targets);
    }

    /**
     * Service with its share of the requests of a route.
     *
     * @param service name of the service
     * @param weight share relative to the other targets, not negative
     */
    public record Target(String service, long weight) {}

    /**
     * Picks a service with a probability in proportion to its weight.
     *
     * @param fraction random number from 0 (inclusive) to 1 (exclusive)
     * @return name of the service
     */
    public String pickService(double fraction) {
        long total = targets.stream().mapToLong(Target::weight).sum();
        double position = fraction * total;
        for (Target target : targets) {
            position -= target.weight();
            if (position < 0) {
                return target.service();
            }
        }
        return targets.get(targets.size() - 1).service();
    }
}
