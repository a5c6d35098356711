package io.sapphirestack.runtime.relay;

import io.sapphirestack.core.relay.RelayWorkKind;
import io.sapphirestack.core.relay.StandbyCopyState;
import io.sapphirestack.core.routing.DispatchPermit;
import io.sapphirestack.core.routing.EndpointState;
import io.sapphirestack.runtime.endpoint.EndpointException;
import io.sapphirestack.runtime.metrics.EventLog;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.RejectedExecutionException;

/**
 * Keeps a standby copy of one attempt of a stream: notices that its holder is lost and orders
 * another copy. Orders run on other threads, so the stream is not delayed by them. Thread-safe.
 */
final class StreamStandby {

    private static final EventLog LOG = EventLog.of(StreamStandby.class);

    /** Status of an order whose holder has no room or cannot be reached. */
    private static final int HOLDER_UNAVAILABLE = 503;

    private final RelayContext context;
    private final StandbyServices services;
    private final RelayedRequest request;
    private final EndpointState running;
    private final List<EndpointState> failed;
    private final StandbyCopyState state;
    private final List<EndpointState> refusedHolders = new ArrayList<>();
    private Optional<EndpointState> holder = Optional.empty();
    private Optional<DispatchPermit> permit = Optional.empty();
    private String reference = "";
    private Optional<String> handle = Optional.empty();
    private boolean busy;
    private boolean closed;
    private boolean isReleaseDue;

    /**
     * Copy from which a stream can continue.
     *
     * @param holder endpoint that holds the copy
     * @param reference value of the header field that names the copy
     */
    record Copy(EndpointState holder, String reference) {}

    /**
     * Creates the standby of an attempt.
     *
     * @param components components of the relay
     * @param request request that is streamed
     * @param running endpoint that runs the attempt
     * @param firstHolder endpoint at which the engine keeps a copy by itself, if any
     * @param failed endpoints at which the stream has failed
     */
    StreamStandby(
            RelayComponents components,
            RelayedRequest request,
            EndpointState running,
            Optional<EndpointState> firstHolder,
            List<EndpointState> failed) {
        this.context = components.context();
        this.services = components.standby();
        this.request = request;
        this.running = running;
        this.failed = List.copyOf(failed);
        this.state = new StandbyCopyState(request.service().orderedCopyLifetimeMs());
        firstHolder.ifPresent(this::beginAutomatic);
    }

    private void beginAutomatic(EndpointState endpoint) {
        state.recordAutomatic(context.clock().nowMs());
        // An engine names the copy that it keeps by itself after the request.
        replaceHolder(endpoint, endpoint.address() + "/" + request.id());
    }

    private void replaceHolder(EndpointState endpoint, String copyReference) {
        permit.ifPresent(DispatchPermit::close);
        permit = Optional.of(context.inFlight().begin(endpoint.id(), RelayWorkKind.COPY.weight()));
        holder = Optional.of(endpoint);
        reference = copyReference;
    }

    /** Returns whether a copy exists from which the stream can continue. */
    synchronized boolean isLive() {
        checkHolder();
        return holder.isPresent() && state.isUsable(context.clock().nowMs());
    }

    /** Returns the copy from which the stream can continue, if there is one. */
    synchronized Optional<Copy> copy() {
        return isLive() ? holder.map(h -> new Copy(h, reference)) : Optional.empty();
    }

    /**
     * Starts what is due for the copy of a running stream. Called often, by the thread of the
     * stream.
     */
    void maintain() {
        if (!request.service().replacesStandbyCopies() || !request.route().kind().isSafeToRetry()) {
            return;
        }
        synchronized (this) {
            if (busy || closed) {
                return;
            }
            checkHolder();
            startAction(state.next(context.clock().nowMs()));
        }
    }

    /** Drops the copy if its holder has ended, restarted or is unreachable. */
    private void checkHolder() {
        boolean lost = holder.isPresent() && !isServing(holder.get());
        if (lost) {
            loseCopy("the holder is not available");
        }
    }

    private boolean isServing(EndpointState endpoint) {
        return !context.health().isSuspect(endpoint.id())
                && services.candidates().known(request).stream().anyMatch(endpoint::isSameProcess);
    }

    private void loseCopy(String cause) {
        LOG.info(
                "SAP1965",
                "The standby copy of a stream is lost",
                "request",
                request.id(),
                "endpoint",
                running.id(),
                "holder",
                holder.map(h -> h.id().value()).orElse(""),
                "cause",
                cause);
        state.recordLost();
        holder = Optional.empty();
        handle = Optional.empty();
        permit.ifPresent(DispatchPermit::close);
        permit = Optional.empty();
    }

    private void startAction(StandbyCopyState.Action action) {
        switch (action) {
            case CHECK_HOLDER -> {
                EndpointState checked = holder.orElseThrow();
                submit(() -> probe(checked));
            }
            case RENEW -> startOrder(holder.orElseThrow());
            case REPLACE -> {
                // Also without a holder, so that the choice is not repeated at every check.
                state.recordOrder(context.clock().nowMs());
                chooseHolder().ifPresent(this::startOrder);
            }
            default -> {
                // Nothing is due.
            }
        }
    }

    private Optional<EndpointState> chooseHolder() {
        List<EndpointState> excluded = new ArrayList<>(failed);
        excluded.addAll(refusedHolders);
        return context.placement()
                .chooseStandby(services.candidates().of(request), running, excluded);
    }

    private void startOrder(EndpointState target) {
        long orderedAtMs = context.clock().nowMs();
        state.recordOrder(orderedAtMs);
        submit(() -> order(target, orderedAtMs));
    }

    private void submit(Runnable task) {
        busy = true;
        try {
            services.executor().execute(() -> runTask(task));
        } catch (RejectedExecutionException e) {
            busy = false;
            LOG.debug("SAP1968", "No thread is free for an order of a copy", "cause", e);
        }
    }

    private void runTask(Runnable task) {
        try {
            task.run();
        } finally {
            synchronized (this) {
                busy = false;
            }
        }
    }

    private void probe(EndpointState endpoint) {
        boolean reachable = services.pool().probe(endpoint);
        if (!reachable) {
            context.health().recordUnreachable(endpoint.id());
        }
        synchronized (this) {
            if (reachable) {
                state.recordHolderReachable(context.clock().nowMs());
            }
        }
    }

    private void order(EndpointState target, long orderedAtMs) {
        CopyOrderClient.CopyOrderResponse response;
        try {
            response = services.client().order(request.id(), running, target);
        } catch (EndpointException e) {
            recordFailedOrder(target, e.getMessage());
            return;
        }
        if (recordResponse(target, response, orderedAtMs)) {
            response.handle().ifPresent(this::release);
        }
    }

    /** Records the response to an order; returns whether its copy has to be released. */
    private synchronized boolean recordResponse(
            EndpointState target, CopyOrderClient.CopyOrderResponse response, long orderedAtMs) {
        if (closed) {
            return isReleaseDue;
        }
        if (response.handle().isEmpty()) {
            if (response.status() == HOLDER_UNAVAILABLE) {
                refusedHolders.add(target);
            }
            recordFailedOrder(target, "status " + response.status());
        } else {
            recordCopy(target, response.handle().get(), orderedAtMs);
        }
        return false;
    }

    private void recordCopy(EndpointState target, String copyHandle, long orderedAtMs) {
        boolean renewed = holder.filter(target::isSameProcess).isPresent();
        if (!renewed) {
            LOG.info(
                    "SAP1966",
                    "A stream has a standby copy on order",
                    "request",
                    request.id(),
                    "endpoint",
                    running.id(),
                    "holder",
                    target.id(),
                    "orderMs",
                    context.clock().nowMs() - orderedAtMs);
            refusedHolders.clear();
            replaceHolder(target, "");
        }
        // A copy on order is named after the endpoint that made it.
        reference = running.address() + "/" + copyHandle;
        handle = Optional.of(copyHandle);
        state.recordOrdered(orderedAtMs);
    }

    private void recordFailedOrder(EndpointState target, String cause) {
        LOG.info(
                "SAP1967",
                "A standby copy could not be made or renewed",
                "request",
                request.id(),
                "endpoint",
                running.id(),
                "holder",
                target.id(),
                "cause",
                cause);
    }

    /**
     * Ends the maintenance of the copy. The copy of a stream that ended is released, because it
     * would take memory of its holder until it expires.
     *
     * @param streamEnded whether the stream has ended, so that nothing continues from the copy
     */
    synchronized void end(boolean streamEnded) {
        if (closed) {
            return;
        }
        closed = true;
        isReleaseDue = streamEnded;
        permit.ifPresent(DispatchPermit::close);
        permit = Optional.empty();
        if (streamEnded && handle.isPresent()) {
            submitRelease(handle.get());
        }
    }

    private void submitRelease(String copyHandle) {
        try {
            services.executor().execute(() -> release(copyHandle));
        } catch (RejectedExecutionException e) {
            LOG.debug("SAP1968", "No thread is free for an order of a copy", "cause", e);
        }
    }

    private void release(String copyHandle) {
        try {
            services.client().release(running, copyHandle);
        } catch (EndpointException e) {
            LOG.debug("SAP1969", "A standby copy could not be released; it expires", "cause", e);
        }
    }
}
