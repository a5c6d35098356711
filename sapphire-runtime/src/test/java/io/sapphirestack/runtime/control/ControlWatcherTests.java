package io.sapphirestack.runtime.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.core.blackboard.ConfigurationLease;
import io.sapphirestack.core.blackboard.Readiness;
import io.sapphirestack.core.control.ControlCommand;
import io.sapphirestack.core.control.ControlDelta;
import io.sapphirestack.core.control.ControlResult;
import io.sapphirestack.core.control.ControlView;
import io.sapphirestack.core.control.FleetStatus;
import io.sapphirestack.core.control.InstanceInfo;
import io.sapphirestack.core.control.InstanceStatus;
import io.sapphirestack.core.id.InstanceId;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.runtime.blackboard.Blackboard;
import io.sapphirestack.runtime.transport.PeerRequest;
import io.sapphirestack.runtime.transport.PeerTransport;
import io.sapphirestack.runtime.transport.TransportException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards what the watcher publishes for answers that are late, unconfirmed or from elsewhere. */
class ControlWatcherTests {

    private static final InstanceRef PROPOSED = new InstanceRef(InstanceId.of("i1"), 1);
    private static final InstanceRef JOINED = new InstanceRef(InstanceId.of("i1"), 4);

    private final Blackboard board = Blackboard.create();
    private final AtomicLong nowMs = new AtomicLong(1_000);
    private final Queue<Optional<WatchReply>> replies = new ArrayDeque<>();
    private final List<WatchRequest> requests = new ArrayList<>();
    private final List<ControlCommand.JoinInstance> joins = new ArrayList<>();
    private final CompletableFuture<Void> allAnswered = new CompletableFuture<>();
    private ControlWatcher watcher;

    @AfterEach
    void stop() {
        watcher.stop();
    }

    @Test
    void confirmedViewIsPublishedWithALeaseFromTheTimeOfSending() throws Exception {
        run(List.of(reply("K", 9, true, false)));

        assertThat(board.control().read().revision()).isEqualTo(9);
        assertThat(board.configurationLease().read())
                .isEqualTo(new ConfigurationLease(1_000 + 3_000));
        assertThat(board.self().read()).contains(JOINED);
    }

    @Test
    void unconfirmedAnswerGivesNoLease() throws Exception {
        run(List.of(reply("K", 9, true, false), reply("K", 10, false, false)));

        assertThat(board.control().read().revision()).isEqualTo(10);
        assertThat(board.configurationLease().read()).isEqualTo(new ConfigurationLease(4_000));
    }

    @Test
    void lowerRevisionIsNeverPublishedAndGivesNoLease() throws Exception {
        run(List.of(reply("K", 9, true, false), reply("K", 8, true, false)));

        assertThat(board.control().read().revision()).isEqualTo(9);
        assertThat(board.configurationLease().read()).isEqualTo(new ConfigurationLease(4_000));
    }

    @Test
    void anotherClusterIsNeverFollowed() throws Exception {
        run(List.of(reply("K", 9, true, false), reply("K2", 50, true, true)));

        assertThat(board.control().read().revision()).isEqualTo(9);
        assertThat(board.configurationLease().read()).isEqualTo(new ConfigurationLease(4_000));
        assertThat(board.self().read()).contains(JOINED);
    }

    @Test
    void unconfirmedVoterDoesNotDecideWhichClusterIsFollowed() throws Exception {
        run(List.of(reply("K2", 50, false, false), reply("K", 9, true, false)));

        assertThat(board.control().read().revision()).isEqualTo(9);
    }

    @Test
    void differenceIsAppliedToTheViewItStartsFromOnly() throws Exception {
        ControlDelta wrong = delta(5, 20);
        ControlDelta right = delta(9, 12);
        run(List.of(reply("K", 9, true, false), reply(wrong), reply(right)));

        assertThat(board.control().read().revision()).isEqualTo(12);
    }

    @Test
    void failedCallIsRepeatedAndGivesNoLease() throws Exception {
        run(List.of(Optional.empty(), reply("K", 9, true, false)));

        assertThat(requests).hasSize(3);
        assertThat(board.control().read().revision()).isEqualTo(9);
    }

    @Test
    void evictedInstanceJoinsAgainAndNamesItsEarlierIncarnation() throws Exception {
        run(List.of(reply("K", 9, true, true), reply("K", 10, true, false)));

        assertThat(joins).hasSize(2);
        assertThat(joins.get(0).retainedFrom()).isEmpty();
        assertThat(joins.get(1).retainedFrom()).contains(JOINED);
        assertThat(joins.get(1).joinId()).isNotEqualTo(joins.get(0).joinId());
    }

    @Test
    void evictionBeforeTheOwnJoinIsIgnored() throws Exception {
        run(List.of(reply("K", 2, true, true)));

        assertThat(joins).hasSize(1);
    }

    private void run(List<Optional<WatchReply>> script) throws Exception {
        replies.addAll(script);
        watcher =
                new ControlWatcher(
                        new InstanceInfo(PROPOSED, "az1", "r1", "p:1", "h:1", 1),
                        new VoterDirectory(List.of("v1:1", "v2:1")),
                        new ScriptedTransport(),
                        new JoiningClient(),
                        board,
                        () ->
                                new InstanceStatus(
                                        PROPOSED, 0, Readiness.READY, 0, Map.of(), List.of()),
                        nowMs::get,
                        new Random(1));
        watcher.start();
        allAnswered.get(20, TimeUnit.SECONDS);
    }

    private static Optional<WatchReply> reply(
            String clusterId, long revision, boolean confirmed, boolean evicted) {
        ControlView view = new ControlView(revision, Map.of(), Map.of(), List.of());
        return Optional.of(
                new WatchReply(
                        clusterId,
                        Optional.of(view),
                        Optional.empty(),
                        revision,
                        confirmed,
                        evicted));
    }

    private static Optional<WatchReply> reply(ControlDelta delta) {
        return Optional.of(
                new WatchReply(
                        "K",
                        Optional.empty(),
                        Optional.of(delta),
                        delta.toRevision(),
                        true,
                        false));
    }

    private static ControlDelta delta(long from, long to) {
        return new ControlDelta(from, to, List.of(), List.of(), List.of(), List.of(), List.of());
    }

    /** Answers long polls from the script; the one after the last is never answered. */
    private final class ScriptedTransport implements PeerTransport {

        @Override
        @SuppressWarnings("unchecked")
        public <R> CompletableFuture<R> call(
                String address, PeerRequest<R> request, long timeoutMs) {
            requests.add((WatchRequest) request);
            CompletableFuture<R> result = new CompletableFuture<>();
            Optional<WatchReply> next = replies.poll();
            if (next == null) {
                allAnswered.complete(null);
            } else if (next.isEmpty()) {
                result.completeExceptionally(
                        new TransportException("connect", address, "refused", false, null));
            } else {
                result.complete((R) next.get());
            }
            // The answer arrives later than the request was sent.
            nowMs.addAndGet(700);
            return result;
        }
    }

    /** Lets every join succeed at entry 5. */
    private final class JoiningClient implements ControlClient {

        @Override
        public CompletableFuture<ControlResult> submit(ControlCommand command, long timeoutMs) {
            joins.add((ControlCommand.JoinInstance) command);
            return CompletableFuture.completedFuture(new ControlResult.Joined(JOINED, 5));
        }

        @Override
        public CompletableFuture<FleetStatus> fleetStatus(long timeoutMs) {
            return CompletableFuture.failedFuture(new UnsupportedOperationException("fleet"));
        }
    }
}
