package io.sapphirestack.runtime.control;

import io.sapphirestack.core.control.ControlCommand;
import io.sapphirestack.core.control.ControlResult;
import io.sapphirestack.core.control.FleetStatus;
import io.sapphirestack.core.control.RecordContent;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.core.record.ConfigRecord;
import io.sapphirestack.core.record.RecordKey;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.core.time.TransferTime;
import io.sapphirestack.runtime.transport.PeerRequest;
import io.sapphirestack.runtime.transport.PeerTransport;
import io.sapphirestack.runtime.transport.TransportException;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * Submits commands to the last known leader and, when that fails, to the other voters in turn. The
 * directory of voters learns the leader from this client and from the long polls of this instance.
 * Thread-safe.
 */
public final class DefaultControlClient implements ControlClient, RecordReader, RecordNumberReader {

    /**
     * Timeout of one attempt at one voter, without the transfer of a large command. The voters
     * replace an unreachable leader within about this time.
     */
    private static final long ATTEMPT_TIMEOUT_MS = 600;

    private static final long RETRY_DELAY_MS = 20;

    private final VoterDirectory voters;
    private final PeerTransport transport;
    private final ScheduledExecutorService scheduler;
    private final MillisClock clock;

    /**
     * Creates a client.
     *
     * @param voters addresses of the voters; the first one is called first
     * @param transport sends the requests
     * @param scheduler schedules retries; not shut down by this class
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
     * Creates a client that uses the current voters of a directory.
     *
     * @param voters addresses of the voters; the first one is called first
     * @param transport sends the requests
     * @param scheduler schedules retries; not shut down by this class
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
    }

    @Override
    public CompletableFuture<ControlResult> submit(ControlCommand command, long timeoutMs) {
        Objects.requireNonNull(command, "command");
        RetryingCall<SubmitReply, ControlResult> call =
                new RetryingCall<>(
                        "submit",
                        attemptMs -> new SubmitRequest(command, attemptMs, false),
                        SubmitReply::result,
                        SubmitReply::leader,
                        SubmitReply::maybeApplied,
                        ATTEMPT_TIMEOUT_MS + transferMs(command),
                        timeoutMs);
        call.attempt();
        return call.outcome;
    }

    /**
     * Returns how long a command may travel to the leader: it passes a link twice if the voter that
     * is called has to forward it. A shorter attempt would send it again behind its own first copy.
     */
    private static long transferMs(ControlCommand command) {
        return command instanceof ControlCommand.PutNewest put
                ? 2 * TransferTime.maxMs(RecordContent.sizeBytes(put.body()))
                : 0;
    }

    @Override
    public CompletableFuture<FleetStatus> fleetStatus(long timeoutMs) {
        RetryingCall<FleetRequest.FleetReply, FleetStatus> call =
                new RetryingCall<>(
                        "fleet",
                        attemptMs -> new FleetRequest(false),
                        FleetRequest.FleetReply::status,
                        FleetRequest.FleetReply::leader,
                        reply -> false,
                        ATTEMPT_TIMEOUT_MS,
                        timeoutMs);
        call.attempt();
        return call.outcome;
    }

    @Override
    public CompletableFuture<Optional<ConfigRecord>> readRecord(RecordKey key, long timeoutMs) {
        Objects.requireNonNull(key, "key");
        RetryingCall<ReadRecordRequest.ReadRecordReply, Optional<ConfigRecord>> call =
                new RetryingCall<>(
                        "read-record",
                        attemptMs -> new ReadRecordRequest(key, false, false),
                        reply -> reply.confirmed() ? Optional.of(reply.record()) : Optional.empty(),
                        ReadRecordRequest.ReadRecordReply::leader,
                        reply -> false,
                        ATTEMPT_TIMEOUT_MS,
                        timeoutMs);
        call.attempt();
        return call.outcome;
    }

    @Override
    public CompletableFuture<OptionalLong> readNumber(RecordKey key, long timeoutMs) {
        Objects.requireNonNull(key, "key");
        RetryingCall<ReadRecordRequest.ReadRecordReply, OptionalLong> call =
                new RetryingCall<>(
                        "read-number",
                        attemptMs -> new ReadRecordRequest(key, false, true),
                        reply ->
                                reply.confirmed()
                                        ? Optional.of(RecordContent.numberOf(reply.record()))
                                        : Optional.empty(),
                        ReadRecordRequest.ReadRecordReply::leader,
                        reply -> false,
                        ATTEMPT_TIMEOUT_MS,
                        timeoutMs);
        call.attempt();
        return call.outcome;
    }

    /**
     * Reports a peer that does not acknowledge appends. The leader evicts the peer unless one of
     * the two is not live or already being evicted, or a report of the same reporter was accepted
     * shortly before.
     *
     * @param reporter incarnation of this instance
     * @param reported reported incarnation of the peer
     * @param timeoutMs timeout of the call including its retries, in milliseconds
     * @return future with whether the leader evicts the peer, or a failure with {@link
     *     ControlException}
     */
    public CompletableFuture<Boolean> reportPeer(
            InstanceRef reporter, InstanceRef reported, long timeoutMs) {
        RetryingCall<ReportPeerRequest.ReportPeerReply, Boolean> call =
                new RetryingCall<>(
                        "report-peer",
                        attemptMs -> new ReportPeerRequest(reporter, reported, false),
                        reply -> Optional.of(reply.accepted()),
                        reply -> "",
                        reply -> true,
                        ATTEMPT_TIMEOUT_MS,
                        timeoutMs);
        call.attempt();
        return call.outcome;
    }

    /** A call with its retries. The timeout is that of the whole call. */
    private final class RetryingCall<R, T> {

        private final String step;
        private final Function<Long, PeerRequest<R>> request;
        private final Function<R, Optional<T>> resultOf;
        private final Function<R, String> leaderOf;
        private final Function<R, Boolean> maybeAppliedOf;
        private final long attemptTimeoutMs;
        private final long deadlineMs;
        private final CompletableFuture<T> outcome = new CompletableFuture<>();
        private volatile boolean maybeApplied;

        private RetryingCall(
                String step,
                Function<Long, PeerRequest<R>> request,
                Function<R, Optional<T>> resultOf,
                Function<R, String> leaderOf,
                Function<R, Boolean> maybeAppliedOf,
                long attemptTimeoutMs,
                long timeoutMs) {
            this.step = step;
            this.request = request;
            this.resultOf = resultOf;
            this.leaderOf = leaderOf;
            this.maybeAppliedOf = maybeAppliedOf;
            this.attemptTimeoutMs = attemptTimeoutMs;
            this.deadlineMs = clock.nowMs() + timeoutMs;
        }

        private void attempt() {
            String address = voters.preferred();
            long remainingMs = deadlineMs - clock.nowMs();
            if (remainingMs <= 0) {
                fail(address, null);
                return;
            }
            long attemptMs = Math.min(remainingMs, attemptTimeoutMs);
            transport
                    .call(address, request.apply(attemptMs), attemptMs)
                    .whenComplete((reply, failure) -> onReply(address, reply, failure));
        }

        private void onReply(String address, R reply, Throwable failure) {
            if (failure != null) {
                Throwable cause =
                        failure instanceof CompletionException && failure.getCause() != null
                                ? failure.getCause()
                                : failure;
                maybeApplied |= !(cause instanceof TransportException t) || t.maybeSent();
                voters.recordNoLeader(address);
                retry(address, cause);
                return;
            }
            Optional<T> result = resultOf.apply(reply);
            String leaderHint = leaderOf.apply(reply);
            if (!leaderHint.isEmpty() && voters.addresses().contains(leaderHint)) {
                voters.recordLeader(leaderHint);
            } else if (result.isEmpty()) {
                voters.recordNoLeader(address);
            }
            if (result.isPresent()) {
                outcome.complete(result.get());
            } else {
                maybeApplied |= maybeAppliedOf.apply(reply);
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
                            step,
                            address,
                            "no voter returned a result before the timeout",
                            maybeApplied,
                            cause));
        }
    }
}
