package io.sapphirestack.runtime.generation;

import io.sapphirestack.core.control.ControlView;
import io.sapphirestack.core.control.MembershipEvent;
import io.sapphirestack.core.error.ExecutionState;
import io.sapphirestack.core.error.Refusal;
import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.generation.GenerationCopy.RoleChange;
import io.sapphirestack.core.generation.GenerationOwner;
import io.sapphirestack.core.id.AccountId;
import io.sapphirestack.core.id.GenerationId;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.runtime.generation.GenerationMessages.CancelGeneration;
import io.sapphirestack.runtime.generation.GenerationMessages.CancelReply;
import io.sapphirestack.runtime.generation.GenerationMessages.FetchReply;
import io.sapphirestack.runtime.generation.GenerationMessages.FetchTokens;
import io.sapphirestack.runtime.generation.GenerationMessages.HolderState;
import io.sapphirestack.runtime.generation.GenerationMessages.RegisterKey;
import io.sapphirestack.runtime.transport.PeerHandlerRegistry;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Default {@link GenerationService} of an instance. Accepts generations, owns them or holds copies
 * of them, and serves reads from a local copy or from the instance that holds one. Thread-safe.
 */
public final class DefaultGenerationService implements GenerationService {

    private static final long MAINTENANCE_INTERVAL_MS = 100;
    private static final long KEY_REFRESH_INTERVAL_MS = 10_000;

    /** Time without an append after which a copy that cannot become owner is dropped. */
    private static final long IDLE_COPY_MS = 60_000;

    /** Time that a call to a holder may take in addition to the wait that was requested. */
    private static final long FETCH_MARGIN_MS = 500;

    private static final int MAX_CACHED_ADDRESSES = 10_000;
    private static final int MAX_HOLDER_CALLS = 3;

    private final GenerationContext context;
    private final GenerationStore store;
    private final OwnershipController ownership;
    private final IdempotencyKeyDirectory keyDirectory;
    private final LastEvictionTime lastEviction = new LastEvictionTime();
    private final HolderLocator locator;
    private final GenerationAcceptor acceptor;
    private final GenerationPeerHandlers handlers;
    private final ScheduledExecutorService scheduler;
    private final ConcurrentHashMap<GenerationId, String> holderAddresses =
            new ConcurrentHashMap<>();
    private final Object membershipLock = new Object();
    private volatile Set<InstanceRef> selfRefs = Set.of();
    private long lastEventIndex = -1;
    private long keysRefreshedAtMs;
    private ScheduledFuture<?> maintenanceTask;

    /**
     * Creates the service. No task runs before {@link #start()}.
     *
     * @param context collaborators
     * @param limits limits on finished generations
     * @param attemptExecutor runs one task per running attempt. It must start each task at once,
     *     because running tasks can take as long as a generation
     * @param scheduler runs the periodic maintenance
     * @param random cryptographically secure source of the random part of identifiers
     */
    public DefaultGenerationService(
            GenerationContext context,
            GenerationLimits limits,
            Executor attemptExecutor,
            ScheduledExecutorService scheduler,
            RandomGenerator random) {
        this.context = Objects.requireNonNull(context, "context");
        this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
        this.store = new GenerationStore(limits.resultRetentionMs(), limits.maxFinishedBytes());
        this.ownership = new OwnershipController(context, store, attemptExecutor);
        this.keyDirectory = new IdempotencyKeyDirectory(context);
        this.locator = new HolderLocator(context, lastEviction);
        this.acceptor =
                new GenerationAcceptor(context, store, ownership, keyDirectory, locator, random);
        this.handlers =
                new GenerationPeerHandlers(context, store, ownership, keyDirectory, () -> selfRefs);
    }

    /**
     * Registers the handlers of the peer messages. Must be called before the transport starts.
     *
     * @param registry registry of the transport
     */
    public void registerHandlers(PeerHandlerRegistry registry) {
        handlers.register(registry);
    }

    /** Starts the maintenance. May be called before or after this instance has joined. */
    public void start() {
        context.blackboard().control().addListener(view -> onMembershipChange());
        context.blackboard().self().addListener(ref -> onMembershipChange());
        onMembershipChange();
        maintenanceTask =
                scheduler.scheduleWithFixedDelay(
                        this::runMaintenance,
                        MAINTENANCE_INTERVAL_MS,
                        MAINTENANCE_INTERVAL_MS,
                        TimeUnit.MILLISECONDS);
    }

    /**
     * Stops the maintenance and the local attempts. The streams on the engines keep running, so
     * that the next owners can attach to them.
     */
    public void stop() {
        if (maintenanceTask != null) {
            maintenanceTask.cancel(false);
        }
        store.all().forEach(LocalGeneration::stopAttempts);
        store.all().forEach(ownership::stopAttempts);
    }

    @Override
    public GenerationId accept(GenerationRequest request) throws RefusedException {
        return acceptor.accept(request);
    }

    @Override
    public TokenBatch fetch(GenerationId id, AccountId account, long fromOffset, long waitMs)
            throws RefusedException {
        Optional<LocalGeneration> local = findLocal(id, account);
        HolderState state =
                local.map(generation -> generation.holderState(selfRefs))
                        .orElse(HolderState.UNKNOWN);
        if (state.compareTo(HolderState.OWNER) >= 0) {
            return ReplyFutures.await(
                            local.get().fetch(fromOffset, waitMs), waitMs + FETCH_MARGIN_MS)
                    .map(reply -> matchingBatch(reply, fromOffset))
                    .orElseGet(() -> Optional.of(emptyBatch(fromOffset)))
                    .orElseThrow(() -> outOfRange(fromOffset));
        }
        if (state == HolderState.REPLICA) {
            Optional<TokenBatch> available =
                    ReplyFutures.await(local.get().fetch(fromOffset, 0), 0)
                            .flatMap(reply -> matchingBatch(reply, fromOffset));
            if (available.isPresent() && !available.get().tokens().isEmpty()) {
                return available.get();
            }
        }
        return fetchRemote(id, account, fromOffset, waitMs);
    }

    private TokenBatch fetchRemote(GenerationId id, AccountId account, long fromOffset, long waitMs)
            throws RefusedException {
        for (int i = 0; i < MAX_HOLDER_CALLS; i++) {
            String address = holderAddresses.get(id);
            if (address == null) {
                address = locator.locate(id, account).instance().peerAddress();
            }
            Optional<FetchReply> reply =
                    ReplyFutures.await(
                            context.transport()
                                    .call(
                                            address,
                                            new FetchTokens(id, account, fromOffset, waitMs),
                                            waitMs + FETCH_MARGIN_MS),
                            waitMs + 2 * FETCH_MARGIN_MS);
            if (reply.isPresent() && reply.get().outOfRange()) {
                throw outOfRange(fromOffset);
            }
            Optional<TokenBatch> batch = reply.flatMap(value -> matchingBatch(value, fromOffset));
            if (batch.isEmpty()) {
                holderAddresses.remove(id);
                continue;
            }
            // A holder that returns no tokens may no longer be a member, so the next read locates
            // the generation again.
            if (batch.get().tokens().isEmpty() || batch.get().complete()) {
                holderAddresses.remove(id);
            } else if (holderAddresses.size() < MAX_CACHED_ADDRESSES) {
                holderAddresses.put(id, address);
            }
            return batch.get();
        }
        throw unreachable();
    }

    private static Optional<TokenBatch> matchingBatch(FetchReply reply, long fromOffset) {
        if (reply.batch() == null || reply.batch().fromOffset() != fromOffset) {
            return Optional.empty();
        }
        return Optional.of(reply.batch());
    }

    private static TokenBatch emptyBatch(long fromOffset) {
        return new TokenBatch(fromOffset, List.of(), GenerationPhase.RUNNING, false, "");
    }

    @Override
    public GenerationStatus status(GenerationId id, AccountId account) throws RefusedException {
        Optional<LocalGeneration> local = findLocal(id, account);
        if (local.isPresent()
                && local.get().holderState(selfRefs).compareTo(HolderState.OWNER) >= 0) {
            return local.get().status();
        }
        return locator.locate(id, account).reply().status();
    }

    @Override
    public void cancel(GenerationId id, AccountId account) throws RefusedException {
        Optional<LocalGeneration> local = findLocal(id, account);
        if (local.isPresent() && ownership.cancel(local.get())) {
            return;
        }
        for (int i = 0; i < MAX_HOLDER_CALLS; i++) {
            HolderLocator.LocatedHolder holder = locator.locate(id, account);
            if (holder.reply().state() == HolderState.COMPLETE) {
                return;
            }
            Optional<CancelReply> reply =
                    ReplyFutures.await(
                            context.transport()
                                    .call(
                                            holder.instance().peerAddress(),
                                            new CancelGeneration(id, account),
                                            FETCH_MARGIN_MS),
                            2 * FETCH_MARGIN_MS);
            if (reply.isPresent() && reply.get().cancelled()) {
                return;
            }
        }
        throw unreachable();
    }

    @Override
    public int countOwnedRunning() {
        int running = 0;
        for (LocalGeneration generation : store.maintained()) {
            running += generation.withOwner(GenerationOwner::epoch).isPresent() ? 1 : 0;
        }
        return running;
    }

    private Optional<LocalGeneration> findLocal(GenerationId id, AccountId account)
            throws RefusedException {
        Optional<LocalGeneration> generation = store.find(id);
        if (generation.isPresent() && !generation.get().spec().account().equals(account)) {
            throw HolderLocator.notFound();
        }
        return generation;
    }

    private static RefusedException outOfRange(long offset) {
        return new RefusedException(
                Refusal.notExecuted(
                        416,
                        "offset_out_of_range",
                        "fetch",
                        "The output has no committed token at offset " + offset + "."));
    }

    private static RefusedException unreachable() {
        return new RefusedException(
                new Refusal(
                        503,
                        "generation_unreachable",
                        "No holder of the generation replied.",
                        "fetch",
                        "local",
                        ExecutionState.UNKNOWN,
                        1_000));
    }

    private void onMembershipChange() {
        synchronized (membershipLock) {
            Optional<InstanceRef> current = context.blackboard().self().read();
            boolean newIncarnation = current.isPresent() && !selfRefs.contains(current.get());
            if (newIncarnation) {
                // A process that joins again keeps its copies, so it still acts for its earlier
                // incarnations.
                Set<InstanceRef> refs = new HashSet<>(selfRefs);
                refs.add(current.get());
                selfRefs = Set.copyOf(refs);
            }
            ControlView view = context.blackboard().control().read();
            long lastIndex = lastIndex(view);
            if (lastIndex <= lastEventIndex && !newIncarnation) {
                return;
            }
            for (MembershipEvent event : view.events()) {
                if (event.index() > lastEventIndex && event instanceof MembershipEvent.Evicted) {
                    lastEviction.record(context.clock().nowMs());
                }
            }
            lastEventIndex = Math.max(lastIndex, lastEventIndex);
            store.all().forEach(generation -> applyEvents(generation, view));
        }
    }

    private static long lastIndex(ControlView view) {
        return view.events().isEmpty() ? -1 : view.events().get(view.events().size() - 1).index();
    }

    private void applyEvents(LocalGeneration generation, ControlView view) {
        long epoch = generation.withOwner(GenerationOwner::epoch).orElse(-1L);
        RoleChange change = generation.withCopy(copy -> copy.applyEvents(view.events(), selfRefs));
        switch (change) {
            case BECAME_OWNER -> ownership.takeOver(generation);
            case LOST_OWNERSHIP -> {
                GenerationEvents.lostOwnership(generation.id(), epoch);
                ownership.stopAttempts(generation);
            }
            case NONE -> {
                ownership.onProgress(generation);
                ownership.replicator().replicate(generation, false);
            }
            default -> throw new IllegalStateException("unknown role change " + change);
        }
    }

    /**
     * Periodic maintenance: resends unacknowledged appends, replaces missing copies, applies missed
     * membership events and drops old entries.
     */
    private void runMaintenance() {
        try {
            long nowMs = context.clock().nowMs();
            ControlView view = context.blackboard().control().read();
            Optional<InstanceRef> current = context.blackboard().self().read();
            long lastIndex = lastIndex(view);
            for (LocalGeneration generation : store.maintained()) {
                maintain(generation, view, lastIndex, current, nowMs);
            }
            ownership.replicator().checkPeers();
            store.dropOldFinished(nowMs);
            keyDirectory.dropExpired();
            if (nowMs - keysRefreshedAtMs >= KEY_REFRESH_INTERVAL_MS) {
                keysRefreshedAtMs = nowMs;
                refreshKeys();
            }
        } catch (RuntimeException e) {
            GenerationEvents.taskFailed("maintenance of generations", e);
        }
    }

    private void maintain(
            LocalGeneration generation,
            ControlView view,
            long lastIndex,
            Optional<InstanceRef> current,
            long nowMs) {
        if (generation.withCopy(copy -> copy.replicas().asOf()) < lastIndex) {
            // The copy was added while the event was being applied to the other copies.
            applyEvents(generation, view);
        }
        if (generation.withOwner(GenerationOwner::epoch).isPresent()) {
            ownership.maintain(generation, current);
        } else if (generation.finishedAtMs() >= 0) {
            store.endMaintenance(generation);
        } else if (!generation.withCopy(copy -> copy.isActive() && copy.mustBeKept(selfRefs))
                && nowMs - generation.lastAppendMs() > IDLE_COPY_MS) {
            store.remove(generation);
        }
    }

    private void refreshKeys() {
        for (LocalGeneration generation : store.all()) {
            if (!generation.spec().idempotencyKey().isEmpty()
                    && generation.withOwner(GenerationOwner::epoch).isPresent()) {
                keyDirectory.refresh(
                        new RegisterKey(
                                generation.spec().account(),
                                generation.spec().idempotencyKey(),
                                generation.id(),
                                generation.spec().bodyHash(),
                                null));
            }
        }
    }
}
