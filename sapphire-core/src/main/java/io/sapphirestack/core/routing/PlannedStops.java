package io.sapphirestack.core.routing;

import io.sapphirestack.core.control.ControlView;
import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.record.StopTarget;
import java.util.Objects;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * Tests whether an endpoint has a planned stop, from the stop records of the control view.
 * Thread-safe and lock-free. The endpoints are extracted once per published view, because the
 * request path tests every candidate endpoint.
 */
public final class PlannedStops implements Predicate<EndpointId> {
    private static final String KIND = "stop";

    private final Supplier<ControlView> control;
    private volatile StoppingEndpoints cached = new StoppingEndpoints(ControlView.EMPTY, Set.of());

    private record StoppingEndpoints(ControlView view, Set<String> endpoints) {}

    /**
     * Creates a predicate.
     *
     * @param control returns the published control view
     */
    public PlannedStops(Supplier<ControlView> control) {
        this.control = Objects.requireNonNull(control, "control");
    }

    @Override
    public boolean test(EndpointId id) {
        ControlView view = control.get();
        StoppingEndpoints current = cached;
        if (current.view() != view) {
            String prefix = StopTarget.ENDPOINT.namePrefix();
            current =
                    new StoppingEndpoints(
                            view,
                            view.records().keySet().stream()
                                    .filter(key -> key.kind().equals(KIND))
                                    .filter(key -> key.name().startsWith(prefix))
                                    .map(key -> key.name().substring(prefix.length()))
                                    .collect(Collectors.toUnmodifiableSet()));
            cached = current;
        }
        return current.endpoints().contains(id.value());
    }
}
