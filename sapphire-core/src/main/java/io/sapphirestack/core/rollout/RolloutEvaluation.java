package io.sapphirestack.core.rollout;

import io.sapphirestack.core.record.RolloutSpec;
import io.sapphirestack.core.record.RolloutState;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Decides the next stage or the end of a rollout. It depends only on the record, the evidence and
 * the time, so that another instance can continue at any moment.
 */
public final class RolloutEvaluation {

    /**
     * Evidence above which the share does not rise further, as a natural logarithm. A good version
     * reaches it with a probability of at most 0.1.
     */
    private static final double LN_SUSPICIOUS = Math.log(10);

    /** Maximum number of versions that a record excludes; the oldest ones are dropped. */
    private static final int MAX_EXCLUDED_VERSIONS = 16;

    private RolloutEvaluation() {}

    /**
     * Endpoints of the service that this instance knows.
     *
     * @param versionIsPresent whether an endpoint of the new version accepts requests
     * @param otherVersions versions of the other endpoints, empty text for an unknown one
     */
    public record KnownEndpoints(boolean versionIsPresent, List<String> otherVersions) {

        /** Copies the list. */
        public KnownEndpoints {
            otherVersions = List.copyOf(otherVersions);
        }
    }

    /**
     * Returns what to write to the record.
     *
     * @param current content of the record
     * @param evidence evidence about both versions
     * @param endpoints endpoints of the service
     * @param nowMs current time, in Unix milliseconds
     * @return next content, empty if nothing changes
     */
    public static Optional<RolloutSpec> next(
            RolloutSpec current, RolloutEvidence evidence, KnownEndpoints endpoints, long nowMs) {
        if (!current.isInProgress()) {
            return Optional.empty();
        }
        if (evidence.isClear()) {
            String reason =
                    String.format(
                            Locale.ROOT,
                            "worse than the old version, ln evidence %.1f",
                            evidence.lnEvidence());
            return Optional.of(withdraw(current, reason, nowMs));
        }
        boolean serving = endpoints.versionIsPresent() && evidence.servesShare(current.share());
        if (nowMs >= current.deadlineAtMs()) {
            return Optional.of(
                    serving
                            ? adopt(current, endpoints, nowMs)
                            : withdraw(current, "does not serve its share at the deadline", nowMs));
        }
        return serving ? advance(current, evidence, endpoints, nowMs) : Optional.empty();
    }

    private static Optional<RolloutSpec> advance(
            RolloutSpec current, RolloutEvidence evidence, KnownEndpoints endpoints, long nowMs) {
        RolloutStages stages = new RolloutStages(current.periodMs());
        long elapsedMs = nowMs - current.startedAtMs();
        if (evidence.lnEvidence() >= LN_SUSPICIOUS) {
            return Optional.empty();
        }
        if (stages.isLast(current.stage())) {
            return elapsedMs >= stages.endMs()
                    ? Optional.of(adopt(current, endpoints, nowMs))
                    : Optional.empty();
        }
        int next = current.stage() + 1;
        RolloutStages.Stage stage = stages.stage(next);
        return elapsedMs >= stage.startMs()
                ? Optional.of(current.withStage(next, stage.share(), nowMs))
                : Optional.empty();
    }

    private static RolloutSpec withdraw(RolloutSpec current, String reason, long nowMs) {
        List<String> excluded = exclude(current, List.of(current.version()));
        return current.ended(RolloutState.WITHDRAWN, reason, excluded, nowMs);
    }

    private static RolloutSpec adopt(RolloutSpec current, KnownEndpoints endpoints, long nowMs) {
        List<String> excluded = exclude(current, endpoints.otherVersions());
        return current.ended(RolloutState.ADOPTED, "no clear evidence against it", excluded, nowMs);
    }

    private static List<String> exclude(RolloutSpec current, List<String> versions) {
        List<String> all =
                Stream.concat(current.excluded().stream(), versions.stream()).distinct().toList();
        return all.subList(Math.max(0, all.size() - MAX_EXCLUDED_VERSIONS), all.size());
    }
}
