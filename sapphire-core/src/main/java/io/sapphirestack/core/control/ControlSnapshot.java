package io.sapphirestack.core.control;

import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.id.InstanceId;
import io.sapphirestack.core.order.OrderEntry;
import io.sapphirestack.core.record.ConfigRecord;
import java.util.List;
import java.util.Map;

/**
 * Complete state of the state machine at one log index.
 *
 * @param clusterId cluster that the state belongs to
 * @param index last log entry that was applied
 * @param timeMs time of that entry
 * @param view records, live instances and membership events
 * @param histories last versions of each record, oldest first
 * @param changeAnswers first answers by change id, oldest first
 * @param joinAnswers first answers by join id, oldest first
 * @param incarnations highest incarnation of each instance
 * @param orders order ledger in the order of the last change
 * @param endpointOrders outstanding order by engine
 * @param voters address of each voter by its identity
 */
public record ControlSnapshot(
        String clusterId,
        long index,
        long timeMs,
        ControlView view,
        List<List<ConfigRecord>> histories,
        List<Answer> changeAnswers,
        List<Answer> joinAnswers,
        Map<InstanceId, Long> incarnations,
        List<OrderEntry> orders,
        Map<EndpointId, OutstandingOrder> endpointOrders,
        Map<String, String> voters) {

    /**
     * First answer to a command.
     *
     * @param id change id or join id
     * @param result answer
     */
    public record Answer(String id, ControlResult result) {}

    /**
     * Order to an engine that has no outcome yet.
     *
     * @param fencingToken token of the order
     * @param order what the engine does
     */
    public record OutstandingOrder(long fencingToken, EndpointOrder order) {}
}
