package io.sapphirestack.runtime.relay;

import io.sapphirestack.core.admission.StreamUrgency;
import java.util.Objects;
import java.util.OptionalInt;

/** Sets the urgency of streams by the priorities of the traffic plan. Thread-safe. */
final class StreamUrgencyPolicy implements UrgencyPolicy {

    private final RelayContext context;

    StreamUrgencyPolicy(RelayContext context) {
        this.context = Objects.requireNonNull(context, "context");
    }

    @Override
    public OptionalInt urgency(RelayedRequest request) {
        if (!context.admission().streamUrgency()) {
            return OptionalInt.empty();
        }
        OptionalInt urgency =
                context.plan()
                        .get()
                        .map(
                                plan ->
                                        StreamUrgency.of(
                                                plan, request.service().name(), request.priority()))
                        .orElse(OptionalInt.empty());
        urgency.ifPresent(context.metrics()::recordUrgency);
        return urgency;
    }
}
