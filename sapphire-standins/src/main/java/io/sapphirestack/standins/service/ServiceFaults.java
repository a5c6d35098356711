package io.sapphirestack.standins.service;

import java.util.concurrent.atomic.AtomicInteger;

/** Faults that tests and operators inject into a plain service. Thread-safe. */
final class ServiceFaults {

    private final AtomicInteger responsesToDrop = new AtomicInteger();
    private final AtomicInteger ordersToRefuse = new AtomicInteger();
    private volatile long delayMs;

    /** Executes the next {@code count} orders but closes their connections without a response. */
    void dropResponses(int count) {
        responsesToDrop.set(count);
    }

    /** Refuses the next {@code count} orders as not executed. */
    void refuseOrders(int count) {
        ordersToRefuse.set(count);
    }

    /** Delays every executed order and every read by {@code ms}. */
    void setDelayMs(long ms) {
        delayMs = ms;
    }

    long delayMs() {
        return delayMs;
    }

    /** Returns whether the response must be dropped, and counts it as dropped. */
    boolean shouldDropResponse() {
        return consume(responsesToDrop);
    }

    /** Returns whether the order must be refused, and counts it as refused. */
    boolean shouldRefuseOrder() {
        return consume(ordersToRefuse);
    }

    private static boolean consume(AtomicInteger remaining) {
        return remaining.getAndUpdate(n -> Math.max(0, n - 1)) > 0;
    }
}
