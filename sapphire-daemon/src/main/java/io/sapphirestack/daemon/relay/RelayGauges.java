package io.sapphirestack.daemon.relay;

import io.sapphirestack.core.blackboard.BlackboardPart;
import io.sapphirestack.core.limit.ByteBudget;
import io.sapphirestack.core.relay.TrafficPlan;
import io.sapphirestack.core.routing.EndpointTable;
import io.sapphirestack.runtime.metrics.Metrics;
import io.sapphirestack.runtime.relay.RelayListener;
import io.sapphirestack.runtime.transport.PeerEventLoop;

/** Gauges of the parts of a relay that have no gauges of their own. */
record RelayGauges(
        TrafficPlanStore trafficPlans,
        BlackboardPart<EndpointTable> endpoints,
        RelayListener callerListener,
        ByteBudget messageMemory,
        PeerEventLoop peerLoop) {

    void register(Metrics metrics) {
        metrics.registerGauge(
                "sapphire_traffic_plan_version",
                "Version of the traffic plan in force, 0 for none.",
                () -> trafficPlans.current().map(TrafficPlan::version).orElse(0L));
        metrics.registerGauge(
                "sapphire_endpoints_known",
                "Endpoints that this instance knows.",
                () -> endpoints.read().byId().size());
        metrics.registerGauge(
                "sapphire_caller_connections",
                "Open connections of callers.",
                callerListener::openConnections);
        metrics.registerGauge(
                "sapphire_message_memory_bytes",
                "Memory of the requests and responses that this instance holds, in bytes.",
                messageMemory::reservedBytes);
        metrics.registerGauge(
                "sapphire_failed_memory_reservations",
                "Reservations of message memory that found none.",
                messageMemory::failedReservations);
        metrics.registerGauge(
                "sapphire_peer_transferred_bytes",
                "Bytes sent to and received from other instances.",
                peerLoop::transferredBytes);
    }
}
