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

/**
 * Performs the tasks of the owner of a generation: runs attempts, keeps the replicas complete and
 * notifies readers. Thread-safe.
 */
final class OwnershipController implements AttemptCallbacks, GenerationReplicator.Listener {

    /** Number of copies of a generation, including that of the owner. */
    static final int TARGET_COPIES = 3;

    private final GenerationContext context;
    private final GenerationStore store;
    private final Executor executor;
    private final EngineClient engineClient = new EngineClient();
    private final GenerationReplicator replicator;

    OwnershipController(GenerationContext context, GenerationStore store, Executor executor) {
        this.context = context;
        this.store = store;
        this.executor = executor;
        this.replicator = new GenerationReplicator(context, this);
    }

    GenerationReplicator replicator() {
        return replicator;
    }

    /** Starts the attempts of a generation that this instance owns. */
    void startAttempts(LocalGeneration generation, AttemptReason reason) {
        Optional<Long> epoch = generation.withOwner(GenerationOwner::epoch);
        if (epoch.isEmpty()) {
            return;
        }
        replicator.replicate(generation, true);
        onProgress(generation);
        if (generation.needsAttempt(epoch.get())) {
            startRunner(generation, epoch.get(), reason, Set.of());
        }
    }

    /** Takes over a generation whose previous owner was evicted. */
    void takeOver(LocalGeneration generation) {
        stopAttempts(generation);
        store.resumeMaintenance(generation);
        context.metrics().recordTakeover();
        long tokens = generation.withCopy(copy -> copy.log().tokenCount());
        GenerationEvents.tookOver(
                generation.id(), generation.withOwner(GenerationOwner::epoch).orElse(-1L), tokens);
        generation.markInterrupted(generation.lastAppendMs());
        try {
            generation.holdPermit(context.admission().admit(generation.spec().account(), true));
        } catch (RefusedException e) {
            // The generation has been accepted already, so a refused admission does not stop it.
            GenerationEvents.taskFailed("admission of generation " + generation.id(), e);
        }
        startAttempts(generation, AttemptReason.TAKEOVER);
    }

    /**
     * Stops the local attempts. The streams on the engines keep running, so that the next owner can
     * attach to them.
     */
    void stopAttempts(LocalGeneration generation) {
        generation.takeStreams().forEach(EngineStream::close);
        generation.releasePermit();
    }

    /** Ends a generation that its account cancels; returns whether this instance is the owner. */
    boolean cancel(LocalGeneration generation) {
        return end(generation, LocalGeneration.CANCELLED);
    }

    @Override
    public void fail(LocalGeneration generation) {
        GenerationEvents.quarantined(generation.id());
        end(generation, LocalGeneration.FAILED);
    }

    private boolean end(LocalGeneration generation, String reason) {
        Optional<AttemptRecord> attempt =
                generation.withOwner(
                        owner -> {
                            owner.end(reason);
                            return owner.attempt();
                        });
        if (attempt.isEmpty()) {
            return false;
        }
        generation.takeStreams().forEach(EngineStream::close);
        cancel(generation, attempt.get());
        onStored(generation);
        return true;
    }

    /** Replaces missing replicas and sends the appends that peers have not acknowledged. */
    void maintain(LocalGeneration generation, Optional<InstanceRef> self) {
        ControlView view = context.blackboard().control().read();
        if (self.isPresent() && view.isLive(self.get())) {
            addReplicas(generation, view, self.get(), Set.of());
        }
        replicator.replicate(generation, true);
        if (generation.withOwner(GenerationOwner::isFullyReplicated).orElse(false)) {
            store.endMaintenance(generation);
        }
    }

    /**
     * Chooses instances for the missing copies and adds them as learners.
     *
     * @param generation generation
     * @param view current control view
     * @param self this instance
     * @param excluded instances that are not chosen
     * @return instances that were added, possibly none
     */
    List<InstanceInfo> addReplicas(
            LocalGeneration generation,
            ControlView view,
            InstanceRef self,
            Set<InstanceId> excluded) {
        return generation
                .withOwner(
                        owner -> {
                            owner.removeLearners(view::isLive);
                            int missing = TARGET_COPIES - 1 - owner.peers().size();
                            if (missing <= 0 || generation.finishedAtMs() >= 0) {
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
                                            generation.id(),
                                            view.instances().get(self.id()),
                                            withoutPlannedStop(view),
                                            holders,
                                            missing);
                            for (InstanceInfo info : chosen) {
                                owner.addLearner(info.ref());
                                GenerationEvents.replicaAdded(generation.id(), info.ref());
                            }
                            return chosen;
                        })
                .orElse(List.of());
    }

    private static Collection<InstanceInfo> withoutPlannedStop(ControlView view) {
        return view.instances().values().stream()
                .filter(info -> view.findRecord(plannedStopKey(info)).isEmpty())
                .toList();
    }

    private static RecordKey plannedStopKey(InstanceInfo info) {
        return new RecordKey("stop", StopTarget.INSTANCE.namePrefix() + info.ref().id());
    }

    private void startRunner(
            LocalGeneration generation,
            long epoch,
            AttemptReason reason,
            Set<EndpointId> excluded) {
        AttemptRunner runner =
                new AttemptRunner(context, engineClient, generation, epoch, this, reason, excluded);
        generation.runnerStarted(epoch);
        try {
            executor.execute(runner);
        } catch (RejectedExecutionException e) {
            generation.runnerEnded(epoch);
            GenerationEvents.taskFailed("start of generation " + generation.id(), e);
        }
    }

    @Override
    public void onStored(LocalGeneration generation) {
        replicator.replicate(generation, false);
        onProgress(generation);
    }

    @Override
    public void startSpeculative(LocalGeneration generation, long epoch, Set<EndpointId> excluded) {
        startRunner(generation, epoch, AttemptReason.SUSPECTED, excluded);
    }

    @Override
    public void cancel(LocalGeneration generation, AttemptRecord attempt) {
        if (attempt.attempt() == 0) {
            return;
        }
        try {
            executor.execute(
                    () ->
                            engineClient.cancel(
                                    attempt.address(), generation.id(), attempt.attempt()));
        } catch (RejectedExecutionException e) {
            // The engine drops a stream that has had no reader for 30 s.
        }
    }

    @Override
    public void onProgress(LocalGeneration generation) {
        generation.notifyReaders();
        long newlyCommitted = generation.takeNewlyCommittedCount();
        if (newlyCommitted > 0) {
            context.metrics().recordCommittedTokens(newlyCommitted);
        }
        long nowMs = context.clock().nowMs();
        if (store.addFinished(generation, nowMs)) {
            long tokens = generation.withCopy(copy -> copy.log().tokenCount());
            String reason = generation.withCopy(copy -> copy.log().finishReason());
            GenerationEvents.completed(generation.id(), tokens, reason);
            generation.releasePermit();
        }
        generation.signalChange();
    }

    @Override
    public void onStaleEpoch(LocalGeneration generation) {
        long epoch = generation.withOwner(GenerationOwner::epoch).orElse(-1L);
        generation.withCopy(copy -> copy.stepDown());
        GenerationEvents.lostOwnership(generation.id(), epoch);
        stopAttempts(generation);
    }
}
