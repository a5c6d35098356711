package io.sapphirestack.daemon;

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
    private final OrderService orders;
    private final ReadService reads;

    OrderAndReadServices(
            DaemonSettings.Limits limits,
            Blackboard blackboard,
            ControlClient control,
            RecordCatalog catalog,
            RoutingStrategy routing,
            DispatchGuard guard,
            RequestCrashMonitor crashes,
            ScheduledExecutorService scheduler,
            MillisClock clock) {
        this.orderThreads = WorkerPools.createRejecting("order", limits.orders());
        this.readThreads = WorkerPools.createRejecting("read", limits.reads());
        HttpPlainConnector connector = new HttpPlainConnector();
        WaitStrategy waitStrategy = WaitStrategy.blocking(clock);
        this.orders =
                new DefaultOrderService(
                        blackboard,
                        control,
                        catalog::service,
                        routing,
                        guard,
                        connector,
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
                        routing,
                        guard,
                        connector,
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
