package io.sapphirestack.daemon;

import io.sapphirestack.core.limit.ByteBudget;
import io.sapphirestack.core.limit.LocalRetryBudget;
import io.sapphirestack.core.routing.DispatchGuard;
import io.sapphirestack.core.routing.RoutingStrategy;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.blackboard.Blackboard;
import io.sapphirestack.runtime.concurrent.WorkerPools;
import io.sapphirestack.runtime.control.ControlClient;
import io.sapphirestack.runtime.endpoint.RequestCrashMonitor;
import io.sapphirestack.runtime.order.DefaultOrderService;
import io.sapphirestack.runtime.order.DefaultReadService;
import io.sapphirestack.runtime.order.HttpPlainConnector;
import io.sapphirestack.runtime.order.OrderRuntime;
import io.sapphirestack.runtime.order.OrderService;
import io.sapphirestack.runtime.order.PlainConnector;
import io.sapphirestack.runtime.order.ReadRetryBudget;
import io.sapphirestack.runtime.order.ReadService;
import io.sapphirestack.runtime.order.WaitStrategy;
import java.io.Closeable;
import java.util.UUID;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** Creates the services for orders and reads at plain services, each with its own thread pool. */
final class OrderAndReadServices implements Closeable {

    private final ThreadPoolExecutor orderThreads;
    private final ThreadPoolExecutor readThreads;

    /** Longest time for the body of a response of an endpoint, in milliseconds. */
    private static final long RESPONSE_BODY_TIMEOUT_MS = 10_000;

    /**
     * How requests reach the endpoints of plain services.
     *
     * @param routing chooses the endpoints
     * @param guard decides whether a request may be sent
     * @param connector opens connections
     */
    record PlainEndpoints(RoutingStrategy routing, DispatchGuard guard, PlainConnector connector) {

        /**
         * Creates them with a connector whose responses take their memory from a budget.
         *
         * @param memory memory for the responses that are being received
         */
        static PlainEndpoints of(RoutingStrategy routing, DispatchGuard guard, ByteBudget memory) {
            return new PlainEndpoints(
                    routing, guard, new HttpPlainConnector(memory, RESPONSE_BODY_TIMEOUT_MS));
        }
    }

    private final OrderService orders;
    private final ReadService reads;

    OrderAndReadServices(
            DaemonSettings.Limits limits,
            Blackboard blackboard,
            ControlClient control,
            RecordCatalog catalog,
            PlainEndpoints endpoints,
            RequestCrashMonitor crashes,
            ScheduledExecutorService scheduler,
            MillisClock clock) {
        this.orderThreads = WorkerPools.createRejecting("order", limits.orders());
        this.readThreads = WorkerPools.createRejecting("read", limits.reads());
        WaitStrategy waitStrategy = WaitStrategy.blocking(clock);
        this.orders =
                new DefaultOrderService(
                        blackboard,
                        control,
                        catalog::service,
                        endpoints.routing(),
                        endpoints.guard(),
                        endpoints.connector(),
                        new OrderRuntime(
                                orderThreads,
                                (task, delayMs) ->
                                        scheduler.schedule(task, delayMs, TimeUnit.MILLISECONDS),
                                waitStrategy,
                                crashes,
                                clock,
                                () -> UUID.randomUUID().toString()));
        this.reads =
                new DefaultReadService(
                        catalog::service,
                        endpoints.routing(),
                        endpoints.guard(),
                        endpoints.connector(),
                        createRetryBudget(),
                        crashes,
                        readThreads,
                        waitStrategy,
                        clock);
    }

    private static ReadRetryBudget createRetryBudget() {
        LocalRetryBudget budget = new LocalRetryBudget();
        return new ReadRetryBudget() {
            @Override
            public boolean tryRetry(String service) {
                return budget.tryRetry(service);
            }

            @Override
            public void recordRequest(String service) {
                budget.recordRequest(service);
            }
        };
    }

    OrderService orders() {
        return orders;
    }

    ReadService reads() {
        return reads;
    }

    @Override
    public void close() {
        orderThreads.shutdownNow();
        readThreads.shutdownNow();
    }
}
