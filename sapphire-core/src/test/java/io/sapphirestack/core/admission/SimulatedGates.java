package io.sapphirestack.core.admission;

import io.sapphirestack.core.admission.SimulatedPlainFleet.Gate;
import io.sapphirestack.core.admission.SimulatedPlainFleet.Instance;
import io.sapphirestack.core.admission.SimulatedPlainFleet.Request;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;

/** Gate of {@link PlainAdmission}, and those that it is compared with. */
final class SimulatedGates {

    static final Comparator<Request> FIRST_IN_FIRST_OUT = Comparator.comparing(r -> r.arrivedAtMs);
    static final Comparator<Request> STRICT_PRIORITY =
            Comparator.<Request, Integer>comparing(r -> r.priority)
                    .thenComparing(FIRST_IN_FIRST_OUT);
    private static final int QUEUE_LENGTH = 64;
    private static final long MAX_WAIT_MS = 150;
    private static final long BUSY_RETRY_AFTER_MS = 100;

    private SimulatedGates() {}

    private static Gate gate(Consumer<Request> arrive, Runnable step) {
        return new Gate() {
            @Override
            public void arrive(Request request) {
                arrive.accept(request);
            }

            @Override
            public void step() {
                step.run();
            }
        };
    }

    /** Sends each request at once, as without admission. */
    static Gate direct(Instance instance) {
        return gate(instance::send, () -> {});
    }

    /** Refuses late requests; a caller that returns counts as new, or with its whole age. */
    static Gate refusing(Instance instance, boolean knowsAge) {
        PlainAdmission admission = new PlainAdmission(instance::random);
        return gate(
                request -> {
                    long ageMs = knowsAge ? instance.nowMs() - request.arrivedAtMs : 0;
                    long targetInMs = request.targetAtMs - request.arrivedAtMs - ageMs;
                    long deadlineInMs = request.deadlineAtMs - instance.nowMs();
                    ServiceCapacity.Estimate estimate = instance.estimate().orElseThrow();
                    if (admission.decide(targetInMs, deadlineInMs, estimate).isSent()) {
                        instance.send(request);
                    } else {
                        instance.refuse(request, admission.retryAfterMs(deadlineInMs, estimate));
                    }
                },
                () -> {});
    }

    /** Holds requests at the instance, in an order, while no slot is free. */
    static Gate queue(Instance instance, Comparator<Request> order) {
        List<Request> waiting = new ArrayList<>();
        return gate(
                request -> {
                    if (waiting.isEmpty() && isFree(instance)) {
                        instance.send(request);
                    } else if (waiting.size() < QUEUE_LENGTH) {
                        waiting.add(request);
                        waiting.sort(order);
                    } else {
                        instance.refuse(request, BUSY_RETRY_AFTER_MS);
                    }
                },
                () -> {
                    while (!waiting.isEmpty() && isFree(instance)) {
                        instance.send(waiting.remove(0));
                    }
                    sendExpired(instance, waiting);
                });
    }

    private static boolean isFree(Instance instance) {
        return instance.estimate().orElseThrow().freeSlots() > 0;
    }

    private static void sendExpired(Instance instance, List<Request> waiting) {
        for (Request request : List.copyOf(waiting)) {
            if (instance.nowMs() - request.arrivedAtMs >= MAX_WAIT_MS) {
                waiting.remove(request);
                instance.send(request);
            }
        }
    }

    /**
     * One queue for all instances, which knows the state of the endpoints and the work of each
     * request: those that can be in time first, of these the shortest.
     */
    static Gate omniscient(Instance instance) {
        List<Request> waiting = new ArrayList<>();
        return gate(
                waiting::add,
                () -> {
                    long nowMs = instance.nowMs();
                    waiting.removeIf(r -> nowMs + r.workMs > r.deadlineAtMs);
                    Comparator<Request> order =
                            Comparator.<Request, Boolean>comparing(
                                            r -> nowMs + r.workMs > r.targetAtMs)
                                    .thenComparing(r -> r.workMs);
                    while (!waiting.isEmpty() && instance.anyFree()) {
                        Request next = waiting.stream().min(order).orElseThrow();
                        waiting.remove(next);
                        instance.sendFree(next);
                    }
                });
    }
}
