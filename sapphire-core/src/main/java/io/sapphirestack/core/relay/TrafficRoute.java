package io.sapphirestack.core.relay;

import java.util.List;

/**
 * Route of a traffic plan: which requests it selects and how they are served.
 *
 * @param name name, for logs
 * @param host host that requests name
 * @param pathPrefix beginning of the paths that it selects, with a slash at both ends
 * @param kind what may be repeated
 * @param timeoutMs longest time that a request is kept waiting, in milliseconds
 * @param targetLatencyMs time within which an answer, or the first event of a stream, is on time
 * @param gapTargetMs longest pause between events that is on time, 0 if the answer is no stream
 * @param priority rank, 0 is the highest
 * @param maxAttempts endpoints that one request may be sent to
 * @param isOpen whether requests need no key
 * @param targets services that share the requests
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

    /** Copies the list. */
    public TrafficRoute {
        targets = List.copyOf(targets);
    }

    /**
     * Service with its share of a route.
     *
     * @param service name of the service
     * @param weight share relative to the other targets, not negative
     */
    public record Target(String service, long weight) {}

    /**
     * Picks a service in proportion to the weights.
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
