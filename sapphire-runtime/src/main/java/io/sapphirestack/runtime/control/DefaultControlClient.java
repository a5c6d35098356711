package io.sapphirestack.runtime.control;

import io.sapphirestack.core.control.ControlCommand;
import io.sapphirestack.core.control.ControlResult;
import io.sapphirestack.core.control.FleetStatus;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.transport.PeerRequest;
import io.sapphirestack.runtime.transport.PeerTransport;
import io.sapphirestack.runtime.transport.TransportException;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;

/** Submits commands to the voter that led last and moves on to others. Thread-safe. */
public final class DefaultControlClient implements ControlClient {

    /** Longest time for one voter; a silent leader is replaced within about this time. */
    private static final long ATTEMPT_TIMEOUT_MS = 600;

    private static final long RETRY_DELAY_MS = 20;

    private final VoterDirectory voters;
    private final PeerTransport transport;
    private final ScheduledExecutorService scheduler;
    private final MillisClock clock;
    private final AtomicReference<String> preferred;

    /**
     * Creates a client.
     *
     * @param voters addresses of the voters; the first one is asked first
     * @param transport sends the requests
     * @param scheduler runs retries; not shut down by this class
     * @param clock monotonic clock
     */
    public DefaultControlClient(
            List<String> voters,
            PeerTransport transport,
            ScheduledExecutorService scheduler,
            MillisClock clock) {
        this(new VoterDirectory(voters), transport, scheduler, clock);
    }

    /**
     * Creates a client that follows changes of the voters.
     *
     * @param voters addresses of the voters; the first one is asked first
     * @param transport sends the requests
     * @param scheduler runs retries; not shut down by this class
     * @param clock monotonic clock
     */
    public DefaultControlClient(
            VoterDirectory voters,
            PeerTransport transport,
            ScheduledExecutorService scheduler,
            MillisClock clock) {
        this.voters = Objects.requireNonNull(voters, "voters");
        this.transport = Objects.requireNonNull(transport, "transport");
        this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.preferred = new AtomicReference<>(voters.addresses().get(0));
    }

    @Override
    public CompletableFuture<ControlResult> submit(ControlCommand command, long timeoutMs) {
        Objects.requireNonNull(command, "command");
        Call<SubmitReply, ControlResult> call =
                new Call<>(
                        "submit",
                        attemptMs -> new SubmitRequest(command, attemptMs, false),
                        SubmitReply::result,
                        SubmitReply::leader,
                        SubmitReply::maybeApplied,
                        timeoutMs);
        call.attempt();
        return call.outcome;
    }

    @Override
    public CompletableFuture<FleetStatus> fleetStatus(long timeoutMs) {
        Call<FleetRequest.FleetReply, FleetStatus> call =
                new Call<>(
                        "fleet",
                        attemptMs -> new FleetRequest(false),
                        FleetRequest.FleetReply::status,
                        FleetRequest.FleetReply::leader,
                        reply -> false,
                        timeoutMs);
        call.attempt();
        return call.outcome;
    }

    /**
     * Reports a peer that does not acknowledge appends; the leader evicts it unless the reporter
     * itself is not live or reported another peer shortly before.
     *
     * @param reporter own incarnation
     * @param reported incarnation of the peer
     * @param timeoutMs time after which the call fails, in milliseconds
     * @return whether the leader evicts the peer, or a failure with {@link ControlException}
     */
    public CompletableFuture<Boolean> reportPeer(
            InstanceRef reporter, InstanceRef reported, long timeoutMs) {
        Call<ReportPeerRequest.ReportPeerReply, Boolean> call =
                new Call<>(
                        "report-peer",
                        attemptMs -> new ReportPeerRequest(reporter, reported, false),
                        reply -> Optional.of(reply.accepted()),
                        reply -> "",
                        reply -> true,
                        timeoutMs);
        call.attempt();
        return call.outcome;
    }

    private String after(String address) {
        List<String> all = voters.addresses();
        return all.get((all.indexOf(address) + 1) % all.size());
    }

    /** One call with its retries. */
    private final class Call<R, T> {

        private final String step;
        private final Function<Long, PeerRequest<R>> request;
        private final Function<R, Optional<T>> result;
        private final Function<R, String> leader;
        private final Function<R, Boolean> maybeApplied;
        private final long deadlineMs;
        private final CompletableFuture<T> outcome = new CompletableFuture<>();
        private volatile boolean mayBeApplied;

        private Call(
                String step,
                Function<Long, PeerRequest<R>> request,
                Function<R, Optional<T>> result,
                Function<R, String> leader,
                Function<R, Boolean> maybeApplied,
                long timeoutMs) {
            this.step = step;
            this.request = request;
            this.result = result;
            this.leader = leader;
            this.maybeApplied = maybeApplied;
            this.deadlineMs = clock.nowMs() + timeoutMs;
        }

        private void attempt() {
            String address = preferred.get();
            long remainingMs = deadlineMs - clock.nowMs();
            if (remainingMs <= 0) {
                fail(address, null);
                return;
            }
            long attemptMs = Math.min(remainingMs, ATTEMPT_TIMEOUT_MS);
            transport
                    .call(address, request.apply(attemptMs), attemptMs)
                    .whenComplete((reply, failure) -> completed(address, reply, failure));
        }

        private void completed(String address, R reply, Throwable failure) {
            if (failure != null) {
                Throwable cause =
                        failure instanceof CompletionException && failure.getCause() != null
                                ? failure.getCause()
                                : failure;
                mayBeApplied |= !(cause instanceof TransportException t) || t.maybeSent();
                preferred.compareAndSet(address, after(address));
                retry(address, cause);
                return;
            }
            Optional<T> value = result.apply(reply);
            String hint = leader.apply(reply);
            if (!hint.isEmpty() && voters.addresses().contains(hint)) {
                preferred.compareAndSet(address, hint);
            } else if (value.isEmpty()) {
                preferred.compareAndSet(address, after(address));
            }
            if (value.isPresent()) {
                outcome.complete(value.get());
            } else {
                mayBeApplied |= maybeApplied.apply(reply);
                retry(address, null);
            }
        }

        private void retry(String address, Throwable cause) {
            if (clock.nowMs() + RETRY_DELAY_MS >= deadlineMs) {
                fail(address, cause);
            } else {
                scheduler.schedule(this::attempt, RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
            }
        }

        private void fail(String address, Throwable cause) {
            outcome.completeExceptionally(
                    new ControlException(
                            step, address, "no voter answered in time", mayBeApplied, cause));
        }
    }
}
