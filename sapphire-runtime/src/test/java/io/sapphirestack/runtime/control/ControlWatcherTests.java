package io.sapphirestack.runtime.control;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.BinaryNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sapphirestack.core.blackboard.ConfigurationLease;
import io.sapphirestack.core.blackboard.Readiness;
import io.sapphirestack.core.control.ControlCommand;
import io.sapphirestack.core.control.ControlDelta;
import io.sapphirestack.core.control.ControlResult;
import io.sapphirestack.core.control.ControlState;
import io.sapphirestack.core.control.ControlView;
import io.sapphirestack.core.control.FleetStatus;
import io.sapphirestack.core.control.InstanceInfo;
import io.sapphirestack.core.control.InstanceStatus;
import io.sapphirestack.core.control.RecordContent;
import io.sapphirestack.core.id.InstanceId;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.core.record.ConfigRecord;
import io.sapphirestack.core.record.RecordKey;
import io.sapphirestack.runtime.blackboard.Blackboard;
import io.sapphirestack.runtime.transport.PeerRequest;
import io.sapphirestack.runtime.transport.PeerTransport;
import io.sapphirestack.runtime.transport.TransportException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests what the watcher publishes after replies that are delayed, unconfirmed, older than its view
 * or from another cluster: none of these may extend the configuration lease or replace a newer
 * view.
 */
class ControlWatcherTests {

    private static final InstanceRef PROPOSED = new InstanceRef(InstanceId.of("i1"), 1);
    private static final InstanceRef JOINED = new InstanceRef(InstanceId.of("i1"), 4);

    private final Blackboard blackboard = Blackboard.create();
    private final AtomicLong nowMs = new AtomicLong(1_000);
    private final Queue<Optional<WatchReply>> replies = new ArrayDeque<>();
    private final List<WatchRequest> requests = new ArrayList<>();
    private final List<ControlCommand.JoinInstance> joins = new ArrayList<>();
    private final CompletableFuture<Void> allRepliesSent = new CompletableFuture<>();
    private final CompletableFuture<byte[]> contentToServe = new CompletableFuture<>();
    private ControlWatcher watcher;
    private Runnable joinFailure = () -> {};
    private Runnable callFailure = () -> {};
    private int failures;

    @AfterEach
    void stop() {
        watcher.stop();
    }

    @Test
    void leaseOfAConfirmedViewCountsFromTheSendingOfTheRequest() throws Exception {
        runScript(List.of(reply("K", 9, true, false)));

        assertThat(blackboard.control().read().revision()).isEqualTo(9);
        assertThat(blackboard.configurationLease().read())
                .isEqualTo(new ConfigurationLease(1_000 + 3_000));
        assertThat(blackboard.self().read()).contains(JOINED);
    }

    @Test
    void unconfirmedReplyDoesNotExtendTheLease() throws Exception {
        runScript(List.of(reply("K", 9, true, false), reply("K", 10, false, false)));

        assertThat(blackboard.control().read().revision()).isEqualTo(10);
        assertThat(blackboard.configurationLease().read()).isEqualTo(new ConfigurationLease(4_000));
    }

    @Test
    void lowerRevisionIsNotPublishedAndDoesNotExtendTheLease() throws Exception {
        runScript(List.of(reply("K", 9, true, false), reply("K", 8, true, false)));

        assertThat(blackboard.control().read().revision()).isEqualTo(9);
        assertThat(blackboard.configurationLease().read()).isEqualTo(new ConfigurationLease(4_000));
    }

    @Test
    void replyOfAnotherClusterIsIgnored() throws Exception {
        runScript(List.of(reply("K", 9, true, false), reply("K2", 50, true, true)));

        assertThat(blackboard.control().read().revision()).isEqualTo(9);
        assertThat(blackboard.configurationLease().read()).isEqualTo(new ConfigurationLease(4_000));
        assertThat(blackboard.self().read()).contains(JOINED);
    }

    @Test
    void unconfirmedReplyDoesNotSelectTheCluster() throws Exception {
        runScript(List.of(reply("K2", 50, false, false), reply("K", 9, true, false)));

        assertThat(blackboard.control().read().revision()).isEqualTo(9);
    }

    @Test
    void deltaIsAppliedOnlyToTheRevisionThatItStartsFrom() throws Exception {
        ControlDelta mismatched = delta(5, 20);
        ControlDelta matching = delta(9, 12);
        runScript(List.of(reply("K", 9, true, false), reply(mismatched), reply(matching)));

        assertThat(blackboard.control().read().revision()).isEqualTo(12);
    }

    /**
     * Guards against heartbeats that stop, and an instance that counts as up to date, while a large
     * content is on its way: the long poll was at once the heartbeat and the transfer (review/6).
     */
    @Test
    void longPollsGoOnAndTheLeaseWaitsWhileAContentIsFetched() throws Exception {
        byte[] content = new byte[100_000];
        new Random(1).nextBytes(content);
        ConfigRecord whole = record(content);
        ControlDelta told =
                new ControlDelta(9, 10, List.of(whole), List.of(), List.of(), List.of(), List.of());

        runScript(
                List.of(
                        reply("K", 9, true, false),
                        reply(told.mapRecords(RecordContent::detach)),
                        reply(delta(9, 10)),
                        reply(delta(9, 10))));

        assertThat(requests).hasSize(5);
        assertThat(requests.subList(2, 5))
                .allMatch(r -> r.appliedRevision() == 9 && r.noticedRevision() == 10);
        assertThat(blackboard.control().read().revision()).isEqualTo(9);
        assertThat(blackboard.configurationLease().read()).isEqualTo(new ConfigurationLease(4_000));

        contentToServe.complete(content);
        awaitRevision(10);
        assertThat(blackboard.control().read().records().values()).containsExactly(whole);
    }

    private void awaitRevision(long revision) throws Exception {
        CompletableFuture<Void> published = new CompletableFuture<>();
        blackboard
                .control()
                .addListener(
                        view -> {
                            if (view.revision() >= revision) {
                                published.complete(null);
                            }
                        });
        if (blackboard.control().read().revision() < revision) {
            published.get(20, TimeUnit.SECONDS);
        }
    }

    private static ConfigRecord record(byte[] content) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put(ControlState.NUMBER_FIELD, 7);
        body.set(ControlState.CONTENT_FIELD, BinaryNode.valueOf(content));
        return new ConfigRecord(
                new RecordKey("traffic-plan", "current"), 1, 1, 10, "c", "operator", body);
    }

    @Test
    void failedLongPollIsRetried() throws Exception {
        runScript(List.of(Optional.empty(), reply("K", 9, true, false)));

        assertThat(requests).hasSize(3);
        assertThat(blackboard.control().read().revision()).isEqualTo(9);
    }

    @Test
    void evictedInstanceJoinsAgainAndPassesItsPreviousIncarnation() throws Exception {
        runScript(List.of(reply("K", 9, true, true), reply("K", 10, true, false)));

        assertThat(joins).hasSize(2);
        assertThat(joins.get(0).retainedFrom()).isEmpty();
        assertThat(joins.get(1).retainedFrom()).contains(JOINED);
        assertThat(joins.get(1).joinId()).isNotEqualTo(joins.get(0).joinId());
    }

    @Test
    void evictionOlderThanTheJoinIsIgnored() throws Exception {
        runScript(List.of(reply("K", 2, true, true)));

        assertThat(joins).hasSize(1);
    }

    /** Failures of one step must not end the long polls, and with them the heartbeats. */
    @ParameterizedTest
    @EnumSource
    void longPollsGoOnAfterAFailedStep(FailingStep step) throws Exception {
        step.prepare(this);

        runScript(List.of(reply("K", 8, true, false), reply("K", 9, true, false)));

        assertThat(failures).isPositive();
        assertThat(blackboard.control().read().revision()).isEqualTo(9);
    }

    /** Step of the watcher that fails once. */
    private enum FailingStep {
        JOIN {
            @Override
            void prepare(ControlWatcherTests tests) {
                tests.joinFailure = () -> tests.failOnce(new IllegalStateException("simulated"));
            }
        },
        LONG_POLL {
            @Override
            void prepare(ControlWatcherTests tests) {
                tests.callFailure = () -> tests.failOnce(new OutOfMemoryError("simulated"));
            }
        },
        LISTENER_OF_THE_VIEW {
            @Override
            void prepare(ControlWatcherTests tests) {
                tests.blackboard
                        .control()
                        .addListener(
                                view -> tests.failOnce(new IllegalStateException("simulated")));
            }
        };

        abstract void prepare(ControlWatcherTests tests);
    }

    private void failOnce(Throwable failure) {
        if (failures++ == 0) {
            if (failure instanceof Error error) {
                throw error;
            }
            throw (RuntimeException) failure;
        }
    }

    private void runScript(List<Optional<WatchReply>> script) throws Exception {
        replies.addAll(script);
        watcher =
                new ControlWatcher(
                        new InstanceInfo(PROPOSED, "az1", "r1", "p:1", "h:1", 1),
                        new VoterDirectory(List.of("v1:1", "v2:1")),
                        new ScriptedTransport(),
                        new JoiningClient(),
                        blackboard,
                        () ->
                                new InstanceStatus(
                                        PROPOSED, 0, Readiness.READY, 0, Map.of(), List.of()),
                        nowMs::get,
                        new Random(1));
        watcher.start();
        allRepliesSent.get(20, TimeUnit.SECONDS);
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
                        evicted,
                        "v2:1"));
    }

    private static Optional<WatchReply> reply(ControlDelta delta) {
        return Optional.of(
                new WatchReply(
                        "K",
                        Optional.empty(),
                        Optional.of(delta),
                        delta.toRevision(),
                        true,
                        false,
                        "v2:1"));
    }

    private static ControlDelta delta(long from, long to) {
        return new ControlDelta(from, to, List.of(), List.of(), List.of(), List.of(), List.of());
    }

    /**
     * Replies to long polls with the scripted replies, an empty one being a failed call. When none
     * is left, a long poll stays without a reply.
     */
    private final class ScriptedTransport implements PeerTransport {

        @Override
        @SuppressWarnings("unchecked")
        public <R> CompletableFuture<R> call(
                String address, PeerRequest<R> request, long timeoutMs) {
            callFailure.run();
            if (request instanceof FetchContentRequest wanted) {
                return (CompletableFuture<R>) contentToServe.thenApply(c -> partOf(c, wanted));
            }
            requests.add((WatchRequest) request);
            CompletableFuture<R> result = new CompletableFuture<>();
            Optional<WatchReply> next = replies.poll();
            if (next == null) {
                allRepliesSent.complete(null);
            } else if (next.isEmpty()) {
                result.completeExceptionally(
                        new TransportException("connect", address, "refused", false, null));
            } else {
                result.complete((R) next.get());
            }
            // Time passes between the request and its reply.
            nowMs.addAndGet(700);
            return result;
        }
    }

    private static FetchContentRequest.Part partOf(byte[] content, FetchContentRequest wanted) {
        int to = Math.min(content.length, wanted.offset() + FetchContentRequest.MAX_PART_BYTES);
        return new FetchContentRequest.Part(true, Arrays.copyOfRange(content, wanted.offset(), to));
    }

    /** Completes every join with log index 5. */
    private final class JoiningClient implements ControlClient {

        @Override
        public CompletableFuture<ControlResult> submit(ControlCommand command, long timeoutMs) {
            joinFailure.run();
            joins.add((ControlCommand.JoinInstance) command);
            return CompletableFuture.completedFuture(new ControlResult.Joined(JOINED, 5));
        }

        @Override
        public CompletableFuture<FleetStatus> fleetStatus(long timeoutMs) {
            return CompletableFuture.failedFuture(new UnsupportedOperationException("fleet"));
        }
    }
}
