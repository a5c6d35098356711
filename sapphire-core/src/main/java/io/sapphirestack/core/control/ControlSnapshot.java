package io.sapphirestack.core.control;

import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.id.InstanceId;
import io.sapphirestack.core.order.OrderEntry;
import io.sapphirestack.core.record.ConfigRecord;
import java.util.List;
import java.util.Map;

/**
 * Complete state of the replicated state machine at one log index.
 *
 * @param clusterId cluster that the state belongs to
 * @param index index of the last applied log entry
 * @param timeMs time of that entry in milliseconds since the Unix epoch
 * @param view records, live instances and membership events
 * @param histories most recent versions of each record, oldest first
 * @param changeAnswers results of the first command with each change id, oldest first
 * @param joinAnswers results of the first command with each join id, oldest first
 * @param incarnations highest incarnation of each instance
 * @param orders entries of the order ledger, sorted by their last change
 * @param endpointOrders outstanding order by engine
 * @param voters address of each voter by its identity
 */
public record ControlSnapshot(
        String clusterId,
        long index,
        long timeMs,
        ControlView view,
        List<List<ConfigRecord>> histories,
        List<StoredResult> changeAnswers,
        List<StoredResult> joinAnswers,
        Map<InstanceId, Long> incarnations,
        List<OrderEntry> orders,
        Map<EndpointId, OutstandingOrder> endpointOrders,
        Map<String, String> voters) {

    /**
     * Result of the first command with an identifier.
     *
     * @param id change id or join id
     * @param result result of the command
     */
    public record StoredResult(String id, ControlResult result) {}

    /**
     * Order to an engine that has no outcome yet.
     *
     * @param fencingToken fencing token of the order
     * @param order order to the engine
     */
    public record OutstandingOrder(long fencingToken, EndpointOrder order) {}
}
