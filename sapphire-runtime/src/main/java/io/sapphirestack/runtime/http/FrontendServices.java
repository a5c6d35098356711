package io.sapphirestack.runtime.http;

import io.sapphirestack.core.limit.ByteBudget;
import io.sapphirestack.core.objective.BurnRecorder;
import io.sapphirestack.core.record.RecordSpecResolver;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.blackboard.Blackboard;
import io.sapphirestack.runtime.control.ControlClient;
import io.sapphirestack.runtime.endpoint.AnnouncementReceiver;
import io.sapphirestack.runtime.generation.GenerationService;
import io.sapphirestack.runtime.metrics.Metrics;
import io.sapphirestack.runtime.order.OrderService;
import io.sapphirestack.runtime.order.ReadService;
import java.util.Objects;

/**
 * Services that the request handlers of the HTTP interface call.
 *
 * @param blackboard shared state of this instance
 * @param specs converts records to typed specifications
 * @param generations creates, reads and cancels generations
 * @param orders submits orders and looks up their outcomes
 * @param reads sends reads to plain services
 * @param announcements receives the announcements of endpoints
 * @param control client of the control log
 * @param admission limits the requests of a client account
 * @param memory memory for the requests of all connections
 * @param metrics metrics of this instance
 * @param burn counts events against service-level objectives
 * @param clock monotonic clock
 * @param bootstrapOperatorKeyHash hash of the key of the operator {@code bootstrap}, who may change
 *     records while there is no operator record
 */
public record FrontendServices(
        Blackboard blackboard,
        RecordSpecResolver specs,
        GenerationService generations,
        OrderService orders,
        ReadService reads,
        AnnouncementReceiver announcements,
        ControlClient control,
        RequestAdmission admission,
        ByteBudget memory,
        Metrics metrics,
        BurnRecorder burn,
        MillisClock clock,
        String bootstrapOperatorKeyHash) {

    /** Checks that no component is null. */
    public FrontendServices {
        Objects.requireNonNull(blackboard, "blackboard");
        Objects.requireNonNull(specs, "specs");
        Objects.requireNonNull(generations, "generations");
        Objects.requireNonNull(orders, "orders");
        Objects.requireNonNull(reads, "reads");
        Objects.requireNonNull(announcements, "announcements");
        Objects.requireNonNull(control, "control");
        Objects.requireNonNull(admission, "admission");
        Objects.requireNonNull(memory, "memory");
        Objects.requireNonNull(metrics, "metrics");
        Objects.requireNonNull(burn, "burn");
        Objects.requireNonNull(clock, "clock");
        Objects.requireNonNull(bootstrapOperatorKeyHash, "bootstrapOperatorKeyHash");
    }
}
