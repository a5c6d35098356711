package io.sapphirestack.runtime.generation;

import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.generation.AttemptMonitor;
import io.sapphirestack.core.generation.AttemptRecord;
import io.sapphirestack.core.generation.GenerationLog;
import io.sapphirestack.core.generation.GenerationOwner.OfferResult;
import io.sapphirestack.core.generation.ResumeAction;
import io.sapphirestack.core.generation.ResumeStrategy;
import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.record.ResumeSpec;
import io.sapphirestack.core.routing.DispatchPermit;
import io.sapphirestack.core.routing.EndpointState;
import io.sapphirestack.core.routing.PrefixHashes;
import io.sapphirestack.core.routing.RoutingRequest;
import io.sapphirestack.core.routing.WorkKind;
import io.sapphirestack.runtime.endpoint.EndpointException;
import io.sapphirestack.runtime.error.ServiceException;
import io.sapphirestack.runtime.generation.GenerationMetrics.AttemptReason;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Runs the attempts of one owned generation on one thread until the output has ended or this
 * instance is no longer the owner.
 */
final class AttemptRunner implements Runnable {

    /** Result of an attempt. */
    private enum Outcome {
        /** The output has ended. */
        ENDED,
        /** The attempt is no longer admitted, or this instance is no longer the owner. */
        SUPERSEDED,
        /** The attempt failed and another one is needed. */
        FAILED
    }

    /** Shortest wait between two searches for an endpoint in milliseconds. */
    private static final long ENDPOINT_POLL_MS = 50;

    /**
     * Longest wait between two searches for an endpoint in milliseconds. The wait grows so that
     * engines that refuse are not called continuously.
     */
    private static final long MAX_ENDPOINT_POLL_MS = 500;

    private final GenerationContext context;
    private final EngineClient engineClient;
    private final LocalGeneration generation;
    private final long epoch;
    private final AttemptCallbacks callbacks;
    private final ResumeSpec resume;
    private final Set<EndpointId> excluded = new HashSet<>();
    private final UnansweredAttempt unanswered;
    private AttemptReason reason;
    private int searchesWithoutProgress;

    AttemptRunner(
            GenerationContext context,
            EngineClient engineClient,
            LocalGeneration generation,
            long epoch,
            AttemptCallbacks callbacks,
            AttemptReason reason,
            Set<EndpointId> excluded) {
        this.context = context;
        this.engineClient = engineClient;
        this.generation = generation;
        this.epoch = epoch;
        this.callbacks = callbacks;
        this.resume = context.catalog().resumeSpec(generation.spec().service());
        this.unanswered =
                new UnansweredAttempt(context.crashes(), generation.spec(), context.clock());
        this.reason = reason;
        this.excluded.addAll(excluded);
    }

    @Override
    public void run() {
        try {
            runAttempts();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            generation.runnerEnded(epoch);
        }
    }

    private void runAttempts() throws InterruptedException {
        AttemptRecord runningAttempt = generation.withCopy(copy -> copy.attempt());
        if (reason == AttemptReason.TAKEOVER && runningAttempt.attempt() > 0) {
            Optional<DispatchPermit> permit = permitForRunning(runningAttempt);
            try {
                if (reattachAfterTakeover(runningAttempt) != Outcome.FAILED) {
                    return;
                }
            } finally {
                permit.ifPresent(DispatchPermit::close);
            }
        }
        while (generation.needsAttempt(epoch)) {
            if (unanswered.isQuarantined()) {
                callbacks.fail(generation);
                return;
            }
            Optional<Placement> placement = awaitPlacement();
            if (placement.isEmpty()) {
                return;
            }
            try {
                if (runAttempt(placement.get().endpoint()) != Outcome.FAILED) {
                    return;
                }
            } catch (RuntimeException e) {
                // An accepted generation must finish, so an unexpected error leads to a new
                // attempt.
                GenerationEvents.taskFailed("attempt of generation " + generation.id(), e);
                generation.awaitChange(ENDPOINT_POLL_MS);
            } finally {
                placement.get().permit().close();
            }
        }
    }

    /**
     * Requests a permit for an attempt that is already running, so that the dispatch guard counts
     * it. A refusal is ignored, because no new work is started.
     */
    private Optional<DispatchPermit> permitForRunning(AttemptRecord runningAttempt) {
        Optional<EndpointState> endpoint =
                context.blackboard()
                        .endpoints()
                        .read()
                        .find(EndpointId.of(runningAttempt.endpoint()));
        if (endpoint.isEmpty()) {
            return Optional.empty();
        }
        try {
            return Optional.of(context.guard().begin(endpoint.get(), WorkKind.GENERATION));
        } catch (RefusedException e) {
            return Optional.empty();
        }
    }

    private record Placement(EndpointState endpoint, DispatchPermit permit) {}

    /** Waits for an endpoint and a permit; empty if no attempt is needed any more. */
    private Optional<Placement> awaitPlacement() throws InterruptedException {
        boolean waitLogged = false;
        PrefixHashes prefix = PrefixHashes.of(generation.spec().prompt());
        while (generation.needsAttempt(epoch)) {
            Optional<EndpointState> endpoint = chooseEndpoint(prefix, excluded);
            if (endpoint.isPresent()) {
                try {
                    DispatchPermit permit =
                            context.guard().begin(endpoint.get(), WorkKind.GENERATION);
                    return Optional.of(new Placement(endpoint.get(), permit));
                } catch (RefusedException e) {
                    // The configuration of this instance may be stale; the generation waits until
                    // the instance may dispatch again.
                    generation.awaitChange(ENDPOINT_POLL_MS);
                    continue;
                }
            }
            if (!waitLogged) {
                GenerationEvents.waitingForEndpoint(generation.id());
                waitLogged = true;
            }
            excluded.clear();
            generation.awaitChange(
                    Math.min(MAX_ENDPOINT_POLL_MS, ENDPOINT_POLL_MS * ++searchesWithoutProgress));
        }
        return Optional.empty();
    }

    private Optional<EndpointState> chooseEndpoint(
            PrefixHashes prefix, Set<EndpointId> excludedEndpoints) {
        return context.routing()
                .choose(
                        new RoutingRequest(
                                WorkKind.GENERATION,
                                generation.spec().service(),
                                generation.spec().account(),
                                Optional.of(generation.spec().pin()),
                                prefix,
                                excludedEndpoints));
    }

    private Outcome reattachAfterTakeover(AttemptRecord runningAttempt)
            throws InterruptedException {
        excluded.add(EndpointId.of(runningAttempt.endpoint()));
        AttemptMonitor monitor = newMonitor();
        try {
            EngineStream stream = attach(runningAttempt);
            context.metrics().recordReattachment(true);
            return readAttempt(runningAttempt, stream, monitor);
        } catch (EndpointException e) {
            Optional<EngineStream> stream =
                    e.timedOut() ? recoverFromTimeout(runningAttempt, monitor) : Optional.empty();
            return stream.isPresent()
                    ? readAttempt(runningAttempt, stream.get(), monitor)
                    : onFailure(runningAttempt, e, AttemptReason.TAKEOVER);
        } catch (ServiceException e) {
            return onFailure(runningAttempt, e, AttemptReason.TAKEOVER);
        }
    }

    private Outcome runAttempt(EndpointState endpoint) throws InterruptedException {
        Optional<AttemptRecord> newAttempt =
                generation.beginAttempt(epoch, endpoint.id().value(), endpoint.address());
        if (newAttempt.isEmpty()) {
            return Outcome.SUPERSEDED;
        }
        AttemptRecord attempt = newAttempt.get();
        excluded.add(endpoint.id());
        unanswered.begin(endpoint);
        context.metrics().recordAttempt(reason);
        GenerationEvents.attemptStarted(
                generation.id(), attempt.attempt(), attempt.endpoint(), reason.name());
        List<String> prefix =
                generation.withCopy(
                        copy -> {
                            GenerationLog log = copy.log();
                            return log.read(0, log.tokenCount(), Integer.MAX_VALUE);
                        });
        AttemptMonitor monitor = newMonitor();
        try {
            EngineStream stream =
                    engineClient.startAttempt(
                            attempt.address(),
                            generation.spec(),
                            attempt.attempt(),
                            prefix,
                            context.catalog().priority(generation.spec().account()),
                            resume.silenceMs());
            countRecomputed(prefix.size());
            return readAttempt(attempt, stream, monitor);
        } catch (EngineRefusedException e) {
            return onFailure(attempt, e, AttemptReason.REFUSED);
        } catch (EndpointException e) {
            Optional<EngineStream> stream =
                    e.timedOut() && e.maybeSent()
                            ? recoverFromTimeout(attempt, monitor)
                            : Optional.empty();
            if (stream.isEmpty()) {
                return onFailure(attempt, e, AttemptReason.RESET);
            }
            countRecomputed(prefix.size());
            return readAttempt(attempt, stream.get(), monitor);
        } catch (ServiceException e) {
            return onFailure(attempt, e, AttemptReason.RESET);
        }
    }

    private AttemptMonitor newMonitor() {
        return new AttemptMonitor(
                resume,
                ResumeStrategy.of(resume.policy()),
                reason != AttemptReason.FIRST && reason != AttemptReason.REFUSED,
                context.clock().nowMs());
    }

    private void countRecomputed(int tokens) {
        if (tokens > 0) {
            generation.withOwner(
                    owner -> {
                        owner.addRecomputed(tokens);
                        return true;
                    });
            context.metrics().recordRecomputedTokens(tokens);
        }
    }

    /**
     * Reads the output of one attempt until it ends or fails. After a read timeout it continues on
     * another stream of the same attempt if possible.
     */
    private Outcome readAttempt(AttemptRecord attempt, EngineStream first, AttemptMonitor monitor)
            throws InterruptedException {
        EngineStream stream = first;
        while (true) {
            try {
                Outcome outcome = readStream(attempt, stream, monitor);
                return outcome == Outcome.FAILED
                        ? onFailure(attempt, null, AttemptReason.STALLED)
                        : outcome;
            } catch (EndpointException e) {
                Optional<EngineStream> next =
                        e.timedOut() ? recoverFromTimeout(attempt, monitor) : Optional.empty();
                if (next.isEmpty()) {
                    AttemptReason failureReason =
                            e.timedOut() ? AttemptReason.SUSPECTED : AttemptReason.RESET;
                    return onFailure(attempt, e, failureReason);
                }
                stream = next.get();
            }
        }
    }

    private Outcome readStream(AttemptRecord attempt, EngineStream stream, AttemptMonitor monitor)
            throws EndpointException {
        int number = attempt.attempt();
        if (!generation.registerStream(epoch, number, stream)) {
            stream.close();
            return Outcome.SUPERSEDED;
        }
        long lastDataMs = context.clock().nowMs();
        long nextOffset = generation.withCopy(copy -> copy.log().tokenCount());
        try {
            while (true) {
                EngineStream.Event event = stream.next();
                lastDataMs = context.clock().nowMs();
                Optional<OfferResult> offerResult;
                if (event instanceof EngineStream.Token token) {
                    monitor.onToken(lastDataMs);
                    unanswered.recordToken();
                    offerResult = generation.offer(epoch, number, token.offset(), token.text());
                    nextOffset = token.offset() + 1;
                } else if (event instanceof EngineStream.End end) {
                    offerResult =
                            generation.offerEnd(epoch, number, nextOffset, end.finishReason());
                } else if (monitor.onKeepAlive(lastDataMs) == ResumeAction.MOVE) {
                    GenerationEvents.noTokens(generation.id(), number, attempt.endpoint());
                    if (chooseEndpoint(PrefixHashes.NONE, excluded).isPresent()) {
                        return Outcome.FAILED;
                    }
                    continue;
                } else if (!generation.isAdmitted(epoch, number)) {
                    offerResult = Optional.of(OfferResult.REFUSED);
                } else {
                    continue;
                }
                Optional<Outcome> outcome =
                        onOfferResult(attempt, offerResult, nextOffset, lastDataMs);
                if (outcome.isPresent()) {
                    return outcome.get();
                }
            }
        } catch (EndpointException e) {
            generation.markInterrupted(lastDataMs);
            throw e;
        } finally {
            generation.unregisterStream(number, stream);
            stream.close();
        }
    }

    /**
     * Handles the result of offering a token or the end of the output.
     *
     * @return the outcome of the attempt, or empty to continue reading
     */
    private Optional<Outcome> onOfferResult(
            AttemptRecord attempt, Optional<OfferResult> offerResult, long offset, long nowMs)
            throws EndpointException {
        if (offerResult.isEmpty()) {
            return Optional.of(Outcome.SUPERSEDED);
        }
        switch (offerResult.get()) {
            case APPENDED, APPENDED_AND_SETTLED -> {
                searchesWithoutProgress = 0;
                long interruptedMs = generation.clearInterruption(nowMs);
                if (interruptedMs >= 0) {
                    context.metrics().recordResume(interruptedMs);
                }
                if (offerResult.get() == OfferResult.APPENDED_AND_SETTLED) {
                    generation.signalChange();
                }
                callbacks.onStored(generation);
                return generation.needsAttempt(epoch)
                        ? Optional.empty()
                        : Optional.of(Outcome.ENDED);
            }
            case DUPLICATE -> {
                return Optional.empty();
            }
            case GAP -> {
                GenerationEvents.offsetGap(
                        generation.id(), attempt.attempt(), attempt.endpoint(), offset);
                throw new EndpointException(
                        "receive",
                        attempt.address(),
                        "tokens before the received offset are missing",
                        true,
                        false,
                        null);
            }
            default -> {
                if (generation.isOwner(epoch)) {
                    callbacks.cancel(generation, attempt);
                }
                return Optional.of(Outcome.SUPERSEDED);
            }
        }
    }

    /**
     * Handles a read timeout: probes the engine and attaches to the attempt again if the engine
     * responds.
     *
     * @return new stream of the same attempt, or empty if the attempt has failed or is no longer
     *     admitted
     */
    private Optional<EngineStream> recoverFromTimeout(AttemptRecord attempt, AttemptMonitor monitor)
            throws InterruptedException {
        ResumeAction action = monitor.onSilence();
        while (generation.isAdmitted(epoch, attempt.attempt())) {
            switch (action) {
                case PROBE -> {
                    long startMs = context.clock().nowMs();
                    EngineClient.ProbeResult probeResult =
                            engineClient.probe(attempt.address(), resume.probeTimeoutMs());
                    long nowMs = context.clock().nowMs();
                    action =
                            probeResult == EngineClient.ProbeResult.UNREACHABLE
                                    ? monitor.onStreamUnavailable()
                                    : monitor.onProbeResult(
                                            probeResult == EngineClient.ProbeResult.RESPONDED,
                                            probeResult == EngineClient.ProbeResult.RESPONDED
                                                    ? nowMs
                                                    : startMs + resume.probeTimeoutMs());
                }
                case REATTACH -> {
                    try {
                        EngineStream stream = attach(attempt);
                        context.metrics().recordReattachment(false);
                        return Optional.of(stream);
                    } catch (EndpointException e) {
                        action = e.timedOut() ? monitor.onSilence() : monitor.onStreamUnavailable();
                    } catch (ServiceException e) {
                        action = monitor.onStreamUnavailable();
                    }
                }
                case SPECULATE -> {
                    callbacks.startSpeculative(generation, epoch, Set.copyOf(excluded));
                    action = ResumeAction.PROBE;
                }
                default -> {
                    return Optional.empty();
                }
            }
        }
        return Optional.empty();
    }

    private EngineStream attach(AttemptRecord attempt) throws ServiceException {
        long fromOffset = generation.withCopy(copy -> copy.log().tokenCount());
        EngineStream stream =
                engineClient.attach(
                        attempt.address(),
                        generation.id(),
                        attempt.attempt(),
                        fromOffset,
                        resume.silenceMs());
        GenerationEvents.reattached(
                generation.id(), attempt.attempt(), attempt.endpoint(), fromOffset);
        return stream;
    }

    private Outcome onFailure(
            AttemptRecord attempt, ServiceException cause, AttemptReason nextReason) {
        unanswered.recordFailure(cause);
        if (!generation.needsAttempt(epoch)) {
            return Outcome.SUPERSEDED;
        }
        if (!generation.isAdmitted(epoch, attempt.attempt())) {
            // A competing attempt has delivered a token first.
            callbacks.cancel(generation, attempt);
            return Outcome.SUPERSEDED;
        }
        generation.markInterrupted(context.clock().nowMs());
        GenerationEvents.attemptFailed(
                generation.id(),
                attempt.attempt(),
                attempt.endpoint(),
                cause == null ? nextReason.name() : cause.getMessage());
        callbacks.cancel(generation, attempt);
        reason = nextReason;
        return generation.removeFailedAttempt(epoch, attempt.attempt())
                ? Outcome.SUPERSEDED
                : Outcome.FAILED;
    }
}
