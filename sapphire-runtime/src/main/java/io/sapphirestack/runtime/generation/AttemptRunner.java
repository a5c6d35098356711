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
 * instance is no longer owner.
 */
final class AttemptRunner implements Runnable {

    /** Services of the ownership that runs the attempts. */
    interface Host {
        /** Tokens were stored or the output ended. */
        void onStored(HeldGeneration held);

        /** Starts a second runner that races against a suspected attempt. */
        void startSpeculative(HeldGeneration held, long epoch, Set<EndpointId> excluded);

        /** Cancels an attempt on its engine, best effort, on another thread. */
        void cancel(HeldGeneration held, AttemptRecord attempt);
    }

    /** How an attempt ended. */
    private enum Outcome {
        /** The output has ended. */
        ENDED,
        /** The attempt or the ownership no longer counts. */
        SUPERSEDED,
        /** The attempt failed; the next one is due. */
        FAILED
    }

    /** Time between two looks for an endpoint in milliseconds. */
    private static final long ENDPOINT_POLL_MS = 50;

    /** Longest time between two looks; keeps refusing engines from being asked all the time. */
    private static final long MAX_ENDPOINT_POLL_MS = 500;

    private final GenerationContext context;
    private final EngineClient engines;
    private final HeldGeneration held;
    private final long epoch;
    private final Host host;
    private final ResumeSpec resume;
    private final Set<EndpointId> excluded = new HashSet<>();
    private AttemptReason reason;
    private int fruitlessRounds;

    AttemptRunner(
            GenerationContext context,
            EngineClient engines,
            HeldGeneration held,
            long epoch,
            Host host,
            AttemptReason reason,
            Set<EndpointId> excluded) {
        this.context = context;
        this.engines = engines;
        this.held = held;
        this.epoch = epoch;
        this.host = host;
        this.resume = context.catalog().resumeSpec(held.spec().service());
        this.reason = reason;
        this.excluded.addAll(excluded);
    }

    @Override
    public void run() {
        try {
            drive();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            held.runnerEnded(epoch);
        }
    }

    private void drive() throws InterruptedException {
        AttemptRecord running = held.withCopy(copy -> copy.attempt());
        if (reason == AttemptReason.TAKEOVER && running.attempt() > 0) {
            Optional<DispatchPermit> permit = permitFor(running);
            try {
                if (reattachAfterTakeover(running) != Outcome.FAILED) {
                    return;
                }
            } finally {
                permit.ifPresent(DispatchPermit::close);
            }
        }
        while (held.needsAttempt(epoch)) {
            Optional<Placement> placement = place();
            if (placement.isEmpty()) {
                return;
            }
            try {
                if (runAttempt(placement.get().endpoint()) != Outcome.FAILED) {
                    return;
                }
            } catch (RuntimeException e) {
                // A generation that was accepted must finish, so an unexpected error is retried.
                GenerationEvents.failedTask("attempt of generation " + held.id(), e);
                held.await(ENDPOINT_POLL_MS);
            } finally {
                placement.get().permit().close();
            }
        }
    }

    /** Counts a stream that runs already; a refusal does not matter, because nothing is started. */
    private Optional<DispatchPermit> permitFor(AttemptRecord running) {
        Optional<EndpointState> endpoint =
                context.blackboard().endpoints().read().find(EndpointId.of(running.endpoint()));
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

    private Optional<Placement> place() throws InterruptedException {
        boolean reported = false;
        PrefixHashes prefix = PrefixHashes.of(held.spec().prompt());
        while (held.needsAttempt(epoch)) {
            Optional<EndpointState> endpoint = choose(prefix, excluded);
            if (endpoint.isPresent()) {
                try {
                    DispatchPermit permit =
                            context.guard().begin(endpoint.get(), WorkKind.GENERATION);
                    return Optional.of(new Placement(endpoint.get(), permit));
                } catch (RefusedException e) {
                    // A stale instance keeps the generation and tries again when it is fresh.
                    held.await(ENDPOINT_POLL_MS);
                    continue;
                }
            }
            if (!reported) {
                GenerationEvents.waitsForEndpoint(held.id());
                reported = true;
            }
            excluded.clear();
            held.await(Math.min(MAX_ENDPOINT_POLL_MS, ENDPOINT_POLL_MS * ++fruitlessRounds));
        }
        return Optional.empty();
    }

    private Optional<EndpointState> choose(PrefixHashes prefix, Set<EndpointId> without) {
        return context.routing()
                .choose(
                        new RoutingRequest(
                                WorkKind.GENERATION,
                                held.spec().service(),
                                held.spec().account(),
                                Optional.of(held.spec().pin()),
                                prefix,
                                without));
    }

    private Outcome reattachAfterTakeover(AttemptRecord running) throws InterruptedException {
        excluded.add(EndpointId.of(running.endpoint()));
        AttemptMonitor monitor = newMonitor();
        try {
            EngineStream stream = attach(running);
            context.metrics().recordReattachment(true);
            return follow(running, stream, monitor);
        } catch (EndpointException e) {
            Optional<EngineStream> stream =
                    e.timedOut() ? investigate(running, monitor) : Optional.empty();
            return stream.isPresent()
                    ? follow(running, stream.get(), monitor)
                    : failed(running, e, AttemptReason.TAKEOVER);
        } catch (ServiceException e) {
            return failed(running, e, AttemptReason.TAKEOVER);
        }
    }

    private Outcome runAttempt(EndpointState endpoint) throws InterruptedException {
        Optional<AttemptRecord> begun =
                held.beginAttempt(epoch, endpoint.id().value(), endpoint.address());
        if (begun.isEmpty()) {
            return Outcome.SUPERSEDED;
        }
        AttemptRecord attempt = begun.get();
        excluded.add(endpoint.id());
        context.metrics().recordAttempt(reason);
        GenerationEvents.attemptStarted(
                held.id(), attempt.attempt(), attempt.endpoint(), reason.name());
        List<String> prefix =
                held.withCopy(
                        copy -> {
                            GenerationLog log = copy.log();
                            return log.read(0, log.tokenCount(), Integer.MAX_VALUE);
                        });
        AttemptMonitor monitor = newMonitor();
        try {
            EngineStream stream =
                    engines.start(
                            attempt.address(),
                            held.spec(),
                            attempt.attempt(),
                            prefix,
                            context.catalog().priority(held.spec().account()),
                            resume.silenceMs());
            countRecomputed(prefix.size());
            return follow(attempt, stream, monitor);
        } catch (EngineRefusedException e) {
            return failed(attempt, e, AttemptReason.REFUSED);
        } catch (EndpointException e) {
            Optional<EngineStream> stream =
                    e.timedOut() && e.maybeSent()
                            ? investigate(attempt, monitor)
                            : Optional.empty();
            if (stream.isEmpty()) {
                return failed(attempt, e, AttemptReason.RESET);
            }
            countRecomputed(prefix.size());
            return follow(attempt, stream.get(), monitor);
        } catch (ServiceException e) {
            return failed(attempt, e, AttemptReason.RESET);
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
            held.withOwner(
                    owner -> {
                        owner.addRecomputed(tokens);
                        return true;
                    });
            context.metrics().recordRecomputedTokens(tokens);
        }
    }

    /** Reads streams of one attempt until it ends or fails. */
    private Outcome follow(AttemptRecord attempt, EngineStream first, AttemptMonitor monitor)
            throws InterruptedException {
        EngineStream stream = first;
        while (true) {
            try {
                Outcome outcome = read(attempt, stream, monitor);
                return outcome == Outcome.FAILED
                        ? failed(attempt, null, AttemptReason.STALLED)
                        : outcome;
            } catch (EndpointException e) {
                Optional<EngineStream> next =
                        e.timedOut() ? investigate(attempt, monitor) : Optional.empty();
                if (next.isEmpty()) {
                    AttemptReason why =
                            e.timedOut() ? AttemptReason.SUSPECTED : AttemptReason.RESET;
                    return failed(attempt, e, why);
                }
                stream = next.get();
            }
        }
    }

    private Outcome read(AttemptRecord attempt, EngineStream stream, AttemptMonitor monitor)
            throws EndpointException {
        int number = attempt.attempt();
        if (!held.register(epoch, number, stream)) {
            stream.close();
            return Outcome.SUPERSEDED;
        }
        long lastDataMs = context.clock().nowMs();
        long nextOffset = held.withCopy(copy -> copy.log().tokenCount());
        try {
            while (true) {
                EngineStream.Event event = stream.next();
                lastDataMs = context.clock().nowMs();
                Optional<OfferResult> offer;
                if (event instanceof EngineStream.Token token) {
                    monitor.onToken(lastDataMs);
                    offer = held.offer(epoch, number, token.offset(), token.text());
                    nextOffset = token.offset() + 1;
                } else if (event instanceof EngineStream.End end) {
                    offer = held.offerEnd(epoch, number, nextOffset, end.finishReason());
                } else if (monitor.onKeepAlive(lastDataMs) == ResumeAction.MOVE) {
                    GenerationEvents.slow(held.id(), number, attempt.endpoint());
                    if (choose(PrefixHashes.NONE, excluded).isPresent()) {
                        return Outcome.FAILED;
                    }
                    continue;
                } else if (!held.admits(epoch, number)) {
                    offer = Optional.of(OfferResult.REFUSED);
                } else {
                    continue;
                }
                Optional<Outcome> outcome = after(attempt, offer, nextOffset, lastDataMs);
                if (outcome.isPresent()) {
                    return outcome.get();
                }
            }
        } catch (EndpointException e) {
            held.interrupted(lastDataMs);
            throw e;
        } finally {
            held.unregister(number, stream);
            stream.close();
        }
    }

    /** Reacts to what became of a token or end; empty to read on. */
    private Optional<Outcome> after(
            AttemptRecord attempt, Optional<OfferResult> offer, long offset, long nowMs)
            throws EndpointException {
        if (offer.isEmpty()) {
            return Optional.of(Outcome.SUPERSEDED);
        }
        switch (offer.get()) {
            case APPENDED, APPENDED_AND_SETTLED -> {
                fruitlessRounds = 0;
                long interruptedMs = held.continued(nowMs);
                if (interruptedMs >= 0) {
                    context.metrics().recordResume(interruptedMs);
                }
                if (offer.get() == OfferResult.APPENDED_AND_SETTLED) {
                    held.wake();
                }
                host.onStored(held);
                return held.needsAttempt(epoch) ? Optional.empty() : Optional.of(Outcome.ENDED);
            }
            case DUPLICATE -> {
                return Optional.empty();
            }
            case GAP -> {
                GenerationEvents.wrongOffset(
                        held.id(), attempt.attempt(), attempt.endpoint(), offset);
                throw new EndpointException(
                        "receive", attempt.address(), "tokens are missing", true, false, null);
            }
            default -> {
                if (held.owns(epoch)) {
                    host.cancel(held, attempt);
                }
                return Optional.of(Outcome.SUPERSEDED);
            }
        }
    }

    /**
     * Finds out why a stream is silent.
     *
     * @return a stream of the same attempt to read on from, or empty if the attempt has failed or
     *     no longer counts
     */
    private Optional<EngineStream> investigate(AttemptRecord attempt, AttemptMonitor monitor)
            throws InterruptedException {
        ResumeAction action = monitor.onSilence();
        while (held.admits(epoch, attempt.attempt())) {
            switch (action) {
                case PROBE -> {
                    long startMs = context.clock().nowMs();
                    EngineClient.Probe probe =
                            engines.probe(attempt.address(), resume.probeTimeoutMs());
                    long nowMs = context.clock().nowMs();
                    action =
                            probe == EngineClient.Probe.REFUSED
                                    ? monitor.onStreamUnavailable()
                                    : monitor.onProbeResult(
                                            probe == EngineClient.Probe.ANSWERED,
                                            probe == EngineClient.Probe.ANSWERED
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
                    host.startSpeculative(held, epoch, Set.copyOf(excluded));
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
        long from = held.withCopy(copy -> copy.log().tokenCount());
        EngineStream stream =
                engines.attach(
                        attempt.address(), held.id(), attempt.attempt(), from, resume.silenceMs());
        GenerationEvents.reattached(held.id(), attempt.attempt(), attempt.endpoint(), from);
        return stream;
    }

    private Outcome failed(AttemptRecord attempt, ServiceException cause, AttemptReason why) {
        if (!held.needsAttempt(epoch)) {
            return Outcome.SUPERSEDED;
        }
        if (!held.admits(epoch, attempt.attempt())) {
            // Another attempt delivered first.
            host.cancel(held, attempt);
            return Outcome.SUPERSEDED;
        }
        held.interrupted(context.clock().nowMs());
        GenerationEvents.attemptFailed(
                held.id(),
                attempt.attempt(),
                attempt.endpoint(),
                cause == null ? why.name() : cause.getMessage());
        host.cancel(held, attempt);
        reason = why;
        return held.leaveToOther(epoch, attempt.attempt()) ? Outcome.SUPERSEDED : Outcome.FAILED;
    }
}
