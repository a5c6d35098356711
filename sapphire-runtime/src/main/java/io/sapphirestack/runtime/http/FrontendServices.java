package io.sapphirestack.runtime.http;

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
 * What the HTTP interface calls.
 *
 * @param blackboard shared state of this instance
 * @param specs typed view of records
 * @param generations generations
 * @param orders orders
 * @param reads reads
 * @param announcements announcements of endpoints
 * @param control control log
 * @param admission limit on requests by client account
 * @param metrics metrics of this instance
 * @param burn events counted against service-level objectives
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
        Metrics metrics,
        BurnRecorder burn,
        MillisClock clock,
        String bootstrapOperatorKeyHash) {

    /** Checks the components. */
    public FrontendServices {
        Objects.requireNonNull(blackboard, "blackboard");
        Objects.requireNonNull(specs, "specs");
        Objects.requireNonNull(generations, "generations");
        Objects.requireNonNull(orders, "orders");
        Objects.requireNonNull(reads, "reads");
        Objects.requireNonNull(announcements, "announcements");
        Objects.requireNonNull(control, "control");
        Objects.requireNonNull(admission, "admission");
        Objects.requireNonNull(metrics, "metrics");
        Objects.requireNonNull(burn, "burn");
        Objects.requireNonNull(clock, "clock");
        Objects.requireNonNull(bootstrapOperatorKeyHash, "bootstrapOperatorKeyHash");
    }
}
