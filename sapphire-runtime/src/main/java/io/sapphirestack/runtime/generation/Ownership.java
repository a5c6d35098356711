package io.sapphirestack.runtime.generation;

import io.sapphirestack.core.control.ControlView;
import io.sapphirestack.core.control.InstanceInfo;
import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.generation.AttemptRecord;
import io.sapphirestack.core.generation.GenerationOwner;
import io.sapphirestack.core.generation.ReplicaPlacement;
import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.id.InstanceId;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.core.record.RecordKey;
import io.sapphirestack.core.record.StopTarget;
import io.sapphirestack.runtime.generation.GenerationMetrics.AttemptReason;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.stream.Collectors;

/** Duties of the owner of a generation: attempts, copies and readers. Thread-safe. */
final class Ownership implements AttemptRunner.Host, Replication.Listener {

    /** Holders of a generation, with the owner. */
    static final int WANTED_COPIES = 3;

    private final GenerationContext context;
    private final GenerationStore store;
    private final Executor executor;
    private final EngineClient engines = new EngineClient();
    private final Replication replication;

    Ownership(GenerationContext context, GenerationStore store, Executor executor) {
        this.context = context;
        this.store = store;
        this.executor = executor;
        this.replication = new Replication(context, this);
    }

    Replication replication() {
        return replication;
    }

    /** Starts the attempts of a generation that this instance owns. */
    void start(HeldGeneration held, AttemptReason reason) {
        Optional<Long> epoch = held.withOwner(GenerationOwner::epoch);
        if (epoch.isEmpty()) {
            return;
        }
        replication.replicate(held, true);
        onProgress(held);
        if (held.needsAttempt(epoch.get())) {
            submit(held, epoch.get(), reason, Set.of());
        }
    }

    /** Takes over a generation whose earlier owner is gone. */
    void takeOver(HeldGeneration held) {
        stop(held);
        store.reopen(held);
        context.metrics().recordTakeover();
        long tokens = held.withCopy(copy -> copy.log().tokenCount());
        GenerationEvents.tookOver(
                held.id(), held.withOwner(GenerationOwner::epoch).orElse(-1L), tokens);
        held.interrupted(held.lastContactMs());
        try {
            held.hold(context.admission().admit(held.spec().account(), true));
        } catch (RefusedException e) {
            // The generation was accepted before, so a limit does not stop it.
            GenerationEvents.failedTask("admission of generation " + held.id(), e);
        }
        start(held, AttemptReason.TAKEOVER);
    }

    /** Stops the attempts here; the streams on the engines stay for the next owner. */
    void stop(HeldGeneration held) {
        held.takeStreams().forEach(EngineStream::close);
        held.releasePermit();
    }

    /** Ends a generation at the request of its account; returns whether this is the owner. */
    boolean cancel(HeldGeneration held) {
        Optional<AttemptRecord> attempt =
                held.withOwner(
                        owner -> {
                            owner.end(HeldGeneration.CANCELLED);
                            return owner.attempt();
                        });
        if (attempt.isEmpty()) {
            return false;
        }
        held.takeStreams().forEach(EngineStream::close);
        cancel(held, attempt.get());
        onStored(held);
        return true;
    }

    /** Adds replicas where one was lost, and sends what peers have not acknowledged. */
    void maintain(HeldGeneration held, Optional<InstanceRef> self) {
        ControlView view = context.blackboard().control().read();
        if (self.isPresent() && view.isLive(self.get())) {
            addReplicas(held, view, self.get(), Set.of());
        }
        replication.replicate(held, true);
        if (held.withOwner(GenerationOwner::isFullyReplicated).orElse(false)) {
            store.close(held);
        }
    }

    /** Chooses instances for missing copies and begins to copy to them. */
    List<InstanceInfo> addReplicas(
            HeldGeneration held, ControlView view, InstanceRef self, Set<InstanceId> excluded) {
        return held.withOwner(
                        owner -> {
                            owner.removeLearners(view::isLive);
                            int missing = WANTED_COPIES - 1 - owner.peers().size();
                            if (missing <= 0 || held.finishedAtMs() >= 0) {
                                return List.<InstanceInfo>of();
                            }
                            Set<InstanceId> holders =
                                    owner.peers().stream()
                                            .map(InstanceRef::id)
                                            .collect(Collectors.toSet());
                            holders.add(self.id());
                            holders.addAll(excluded);
                            List<InstanceInfo> chosen =
                                    ReplicaPlacement.choose(
                                            held.id(),
                                            view.instances().get(self.id()),
                                            ready(view),
                                            holders,
                                            missing);
                            for (InstanceInfo info : chosen) {
                                owner.addLearner(info.ref());
                                GenerationEvents.replicaAdded(held.id(), info.ref());
                            }
                            return chosen;
                        })
                .orElse(List.of());
    }

    private static Collection<InstanceInfo> ready(ControlView view) {
        return view.instances().values().stream()
                .filter(info -> view.findRecord(stopOf(info)).isEmpty())
                .toList();
    }

    private static RecordKey stopOf(InstanceInfo info) {
        return new RecordKey("stop", StopTarget.INSTANCE.namePrefix() + info.ref().id());
    }

    private void submit(
            HeldGeneration held, long epoch, AttemptReason reason, Set<EndpointId> excluded) {
        AttemptRunner runner =
                new AttemptRunner(context, engines, held, epoch, this, reason, excluded);
        held.runnerStarted(epoch);
        try {
            executor.execute(runner);
        } catch (RejectedExecutionException e) {
            held.runnerEnded(epoch);
            GenerationEvents.failedTask("start of generation " + held.id(), e);
        }
    }

    @Override
    public void onStored(HeldGeneration held) {
        replication.replicate(held, false);
        onProgress(held);
    }

    @Override
    public void startSpeculative(HeldGeneration held, long epoch, Set<EndpointId> excluded) {
        submit(held, epoch, AttemptReason.SUSPECTED, excluded);
    }

    @Override
    public void cancel(HeldGeneration held, AttemptRecord attempt) {
        if (attempt.attempt() == 0) {
            return;
        }
        try {
            executor.execute(() -> engines.cancel(attempt.address(), held.id(), attempt.attempt()));
        } catch (RejectedExecutionException e) {
            // The engine drops the stream by itself when nobody has read it for 30 s.
        }
    }

    @Override
    public void onProgress(HeldGeneration held) {
        held.notifyReaders();
        long newly = held.takeNewlyCommitted();
        if (newly > 0) {
            context.metrics().recordCommittedTokens(newly);
        }
        long now = context.clock().nowMs();
        if (store.noteFinished(held, now)) {
            long tokens = held.withCopy(copy -> copy.log().tokenCount());
            String reason = held.withCopy(copy -> copy.log().finishReason());
            GenerationEvents.completed(held.id(), tokens, reason);
            held.releasePermit();
        }
        held.wake();
    }

    @Override
    public void onStaleEpoch(HeldGeneration held) {
        long epoch = held.withOwner(GenerationOwner::epoch).orElse(-1L);
        held.withCopy(copy -> copy.stepDown());
        GenerationEvents.lostOwnership(held.id(), epoch);
        stop(held);
    }
}
