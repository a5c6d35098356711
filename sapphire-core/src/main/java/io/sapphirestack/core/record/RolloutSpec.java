package io.sapphirestack.core.record;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Objects;

/**
 * Content of a {@code rollout} record: the last order for a service and how far it has come.
 *
 * @param service name of the service
 * @param version version that the order moves the traffic to
 * @param periodMs time from the order to its deadline, in milliseconds
 * @param startedAtMs time of the order, in Unix milliseconds; together with the version it
 *     identifies the order
 * @param state state
 * @param stage number of the current stage, from 0
 * @param share share of the requests that the version gets while the rollout is in progress, from 0
 *     to 1
 * @param changedAtMs time at which the state or the stage changed last, in Unix milliseconds
 * @param verdict why the rollout ended, empty while it is in progress
 * @param excluded versions whose endpoints get no requests, because they were withdrawn or replaced
 */
public record RolloutSpec(
        String service,
        String version,
        long periodMs,
        long startedAtMs,
        RolloutState state,
        int stage,
        double share,
        long changedAtMs,
        String verdict,
        List<String> excluded) {

    /** Kind of the records. */
    public static final String KIND = "rollout";

    /** Checks the components, and copies the list. */
    public RolloutSpec {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(version, "version");
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(verdict, "verdict");
        excluded = List.copyOf(excluded);
    }

    /** Returns whether the rollout is in progress. */
    public boolean isInProgress() {
        return state == RolloutState.IN_PROGRESS;
    }

    /** Returns the deadline, in Unix milliseconds. */
    public long deadlineAtMs() {
        return startedAtMs + periodMs;
    }

    /**
     * Returns whether another spec belongs to the same order.
     *
     * @param other spec of the same service
     * @return whether version and time of the order are equal
     */
    public boolean isSameOrder(RolloutSpec other) {
        return startedAtMs == other.startedAtMs && version.equals(other.version);
    }

    /**
     * Returns a copy in another stage.
     *
     * @param next number of the stage
     * @param nextShare share of the requests in that stage
     * @param nowMs current time, in Unix milliseconds
     * @return rollout in that stage
     */
    public RolloutSpec withStage(int next, double nextShare, long nowMs) {
        return new RolloutSpec(
                service,
                version,
                periodMs,
                startedAtMs,
                state,
                next,
                nextShare,
                nowMs,
                verdict,
                excluded);
    }

    /**
     * Returns a copy that has ended.
     *
     * @param end final state
     * @param reason why it ended
     * @param excludedVersions versions whose endpoints get no requests from now on
     * @param nowMs current time, in Unix milliseconds
     * @return rollout that has ended
     */
    public RolloutSpec ended(
            RolloutState end, String reason, List<String> excludedVersions, long nowMs) {
        return new RolloutSpec(
                service,
                version,
                periodMs,
                startedAtMs,
                end,
                stage,
                share,
                nowMs,
                reason,
                excludedVersions);
    }

    /** Returns the body of the record. */
    public ObjectNode toBody() {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put("service", service);
        body.put("version", version);
        body.put("periodMs", periodMs);
        body.put("startedAtMs", startedAtMs);
        body.put("state", state.name());
        body.put("stage", stage);
        body.put("share", share);
        body.put("changedAtMs", changedAtMs);
        body.put("verdict", verdict);
        ArrayNode versions = body.putArray("excluded");
        excluded.forEach(versions::add);
        return body;
    }
}
