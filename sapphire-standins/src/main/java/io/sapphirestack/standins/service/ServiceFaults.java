package io.sapphirestack.standins.service;

import java.util.concurrent.atomic.AtomicInteger;

/** Faults of a plain service, injected on command. Thread-safe. */
final class ServiceFaults {

    private final AtomicInteger answersToDrop = new AtomicInteger();
    private final AtomicInteger ordersNotToRun = new AtomicInteger();
    private volatile long delayMs;

    /** Closes the connection instead of answering, after running, for a number of orders. */
    void dropAnswers(int count) {
        answersToDrop.set(count);
    }

    /** Answers not-run without running for a number of orders. */
    void refuseOrders(int count) {
        ordersNotToRun.set(count);
    }

    /** Delays every order and read. */
    void delay(long ms) {
        delayMs = ms;
    }

    long delayMs() {
        return delayMs;
    }

    boolean dropsAnswer() {
        return take(answersToDrop);
    }

    boolean refusesOrder() {
        return take(ordersNotToRun);
    }

    private static boolean take(AtomicInteger count) {
        return count.getAndUpdate(n -> Math.max(0, n - 1)) > 0;
    }
}
