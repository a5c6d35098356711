package io.sapphirestack.core.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

/** Simple baseline strategies that the default strategy is compared with. */
final class BaselineStrategies {
    private BaselineStrategies() {}

    static RoutingStrategy random(Supplier<EndpointTable> table, Random random) {
        return request -> {
            List<EndpointState> all = table.get().ofService(request.service());
            return all.isEmpty()
                    ? Optional.empty()
                    : Optional.of(all.get(random.nextInt(all.size())));
        };
    }

    static RoutingStrategy roundRobin(Supplier<EndpointTable> table, int start) {
        AtomicInteger next = new AtomicInteger(start);
        return request -> {
            List<EndpointState> all = table.get().ofService(request.service());
            return all.isEmpty()
                    ? Optional.empty()
                    : Optional.of(all.get(Math.floorMod(next.getAndIncrement(), all.size())));
        };
    }

    static RoutingStrategy leastReportedLoad(Supplier<EndpointTable> table) {
        return request ->
                table.get().ofService(request.service()).stream()
                        .min(Comparator.comparingInt(e -> e.load().running() + e.load().queued()));
    }
}
