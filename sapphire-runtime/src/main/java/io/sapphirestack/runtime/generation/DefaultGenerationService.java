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
 * Generations of one instance: accepts them, owns them or holds copies, and serves readers from any
 * holder. Thread-safe.
 */
public final class DefaultGenerationService implements GenerationService {

    private static final long TICK_MS = 100;
    private static final long KEY_REFRESH_MS = 10_000;

    /** Idle time after which a copy that cannot take over is dropped. */
    private static final long IDLE_COPY_MS = 60_000;

    /** Time that a read of a holder may take beyond the caller's wait. */
    private static final long FETCH_MARGIN_MS = 500;

    private static final int MAX_HINTS = 10_000;
    private static final int HOLDER_TRIES = 3;

    private final GenerationContext context;
    private final GenerationStore store;
    private final Ownership ownership;
    private final KeyDirectory keys;
    private final EvictionTimes evictions = new EvictionTimes();
    private final HolderLocator locator;
    private final GenerationAcceptor acceptor;
    private final GenerationPeerHandlers handlers;
    private final ScheduledExecutorService scheduler;
    private final ConcurrentHashMap<GenerationId, String> hints = new ConcurrentHashMap<>();
    private final Object membershipLock = new Object();
    private volatile Set<InstanceRef> self = Set.of();
    private long lastEventIndex = -1;
    private long keysRefreshedAtMs;
    private ScheduledFuture<?> ticking;

    /**
     * Creates the service; nothing runs before {@link #start()}.
     *
     * @param context collaborators
     * @param limits bounds
     * @param attemptExecutor runs one task per running attempt; must not queue behind running
     *     tasks, so a cached thread pool
     * @param scheduler runs the periodic maintenance
     * @param random secure source of the random part of identifiers
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
        this.ownership = new Ownership(context, store, attemptExecutor);
        this.keys = new KeyDirectory(context);
        this.locator = new HolderLocator(context, evictions);
        this.acceptor = new GenerationAcceptor(context, store, ownership, keys, locator, random);
        this.handlers = new GenerationPeerHandlers(context, store, ownership, keys, () -> self);
    }

    /**
     * Registers the handlers of the peer messages; before the transport starts.
     *
     * @param registry registry of the transport
     */
    public void registerHandlers(PeerHandlerRegistry registry) {
        handlers.register(registry);
    }

    /** Starts the maintenance; after the control watcher has joined or at any time before. */
    public void start() {
        context.blackboard().control().addListener(view -> onMembership());
        context.blackboard().self().addListener(ref -> onMembership());
        onMembership();
        ticking =
                scheduler.scheduleWithFixedDelay(
                        this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    }

    /** Stops the maintenance and the attempts; streams on engines stay for other owners. */
    public void stop() {
        if (ticking != null) {
            ticking.cancel(false);
        }
        store.all().forEach(HeldGeneration::halt);
        store.all().forEach(ownership::stop);
    }

    @Override
    public GenerationId accept(GenerationRequest request) throws RefusedException {
        return acceptor.accept(request);
    }

    @Override
    public TokenBatch fetch(GenerationId id, AccountId account, long fromOffset, long waitMs)
            throws RefusedException {
        Optional<HeldGeneration> local = local(id, account);
        HolderState state = local.map(held -> held.state(self)).orElse(HolderState.UNKNOWN);
        if (state.compareTo(HolderState.OWNER) >= 0) {
            return Calls.await(local.get().fetch(fromOffset, waitMs), waitMs + FETCH_MARGIN_MS)
                    .map(reply -> batchOf(reply, fromOffset))
                    .orElseGet(() -> Optional.of(empty(fromOffset)))
                    .orElseThrow(() -> outOfRange(fromOffset));
        }
        if (state == HolderState.REPLICA) {
            Optional<TokenBatch> now =
                    Calls.await(local.get().fetch(fromOffset, 0), 0)
                            .flatMap(reply -> batchOf(reply, fromOffset));
            if (now.isPresent() && !now.get().tokens().isEmpty()) {
                return now.get();
            }
        }
        return fetchRemote(id, account, fromOffset, waitMs);
    }

    private TokenBatch fetchRemote(GenerationId id, AccountId account, long fromOffset, long waitMs)
            throws RefusedException {
        for (int i = 0; i < HOLDER_TRIES; i++) {
            String address = hints.get(id);
            if (address == null) {
                address = locator.locate(id, account).instance().peerAddress();
            }
            Optional<FetchReply> reply =
                    Calls.await(
                            context.transport()
                                    .call(
                                            address,
                                            new FetchTokens(id, account, fromOffset, waitMs),
                                            waitMs + FETCH_MARGIN_MS),
                            waitMs + 2 * FETCH_MARGIN_MS);
            if (reply.isPresent() && reply.get().outOfRange()) {
                throw outOfRange(fromOffset);
            }
            Optional<TokenBatch> batch = reply.flatMap(value -> batchOf(value, fromOffset));
            if (batch.isEmpty()) {
                hints.remove(id);
                continue;
            }
            // A holder without progress may have lost the generation, so it is located again.
            if (batch.get().tokens().isEmpty() || batch.get().complete()) {
                hints.remove(id);
            } else if (hints.size() < MAX_HINTS) {
                hints.put(id, address);
            }
            return batch.get();
        }
        throw unreachable();
    }

    private static Optional<TokenBatch> batchOf(FetchReply reply, long fromOffset) {
        if (reply.batch() == null || reply.batch().fromOffset() != fromOffset) {
            return Optional.empty();
        }
        return Optional.of(reply.batch());
    }

    private static TokenBatch empty(long fromOffset) {
        return new TokenBatch(fromOffset, List.of(), GenerationPhase.RUNNING, false, "");
    }

    @Override
    public GenerationStatus status(GenerationId id, AccountId account) throws RefusedException {
        Optional<HeldGeneration> local = local(id, account);
        if (local.isPresent() && local.get().state(self).compareTo(HolderState.OWNER) >= 0) {
            return local.get().status();
        }
        return locator.locate(id, account).reply().status();
    }

    @Override
    public void cancel(GenerationId id, AccountId account) throws RefusedException {
        Optional<HeldGeneration> local = local(id, account);
        if (local.isPresent() && ownership.cancel(local.get())) {
            return;
        }
        for (int i = 0; i < HOLDER_TRIES; i++) {
            HolderLocator.Found found = locator.locate(id, account);
            if (found.reply().state() == HolderState.COMPLETE) {
                return;
            }
            Optional<CancelReply> reply =
                    Calls.await(
                            context.transport()
                                    .call(
                                            found.instance().peerAddress(),
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
        for (HeldGeneration held : store.open()) {
            running += held.withOwner(GenerationOwner::epoch).isPresent() ? 1 : 0;
        }
        return running;
    }

    private Optional<HeldGeneration> local(GenerationId id, AccountId account)
            throws RefusedException {
        Optional<HeldGeneration> held = store.find(id);
        if (held.isPresent() && !held.get().spec().account().equals(account)) {
            throw HolderLocator.notFound();
        }
        return held;
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
                        "No holder of the generation answered.",
                        "fetch",
                        "local",
                        ExecutionState.UNKNOWN,
                        1_000));
    }

    private void onMembership() {
        synchronized (membershipLock) {
            Optional<InstanceRef> current = context.blackboard().self().read();
            boolean renamed = current.isPresent() && !self.contains(current.get());
            if (renamed) {
                // The process keeps its memory when it joins again, so earlier names stay its own.
                Set<InstanceRef> names = new HashSet<>(self);
                names.add(current.get());
                self = Set.copyOf(names);
            }
            ControlView view = context.blackboard().control().read();
            long last = lastIndex(view);
            if (last <= lastEventIndex && !renamed) {
                return;
            }
            for (MembershipEvent event : view.events()) {
                if (event.index() > lastEventIndex && event instanceof MembershipEvent.Evicted) {
                    evictions.note(context.clock().nowMs());
                }
            }
            lastEventIndex = Math.max(last, lastEventIndex);
            store.all().forEach(held -> applyEvents(held, view));
        }
    }

    private static long lastIndex(ControlView view) {
        return view.events().isEmpty() ? -1 : view.events().get(view.events().size() - 1).index();
    }

    private void applyEvents(HeldGeneration held, ControlView view) {
        long epoch = held.withOwner(GenerationOwner::epoch).orElse(-1L);
        RoleChange change = held.withCopy(copy -> copy.applyEvents(view.events(), self));
        switch (change) {
            case BECAME_OWNER -> ownership.takeOver(held);
            case LOST_OWNERSHIP -> {
                GenerationEvents.lostOwnership(held.id(), epoch);
                ownership.stop(held);
            }
            case NONE -> {
                ownership.onProgress(held);
                ownership.replication().replicate(held, false);
            }
            default -> throw new IllegalStateException("unknown role change " + change);
        }
    }

    /** Repeats what may have been lost: appends without reply, missing copies, late events. */
    private void tick() {
        try {
            long now = context.clock().nowMs();
            ControlView view = context.blackboard().control().read();
            Optional<InstanceRef> current = context.blackboard().self().read();
            long last = lastIndex(view);
            for (HeldGeneration held : store.open()) {
                maintain(held, view, last, current, now);
            }
            ownership.replication().checkPeers();
            store.dropOldFinished(now);
            keys.dropOld();
            if (now - keysRefreshedAtMs >= KEY_REFRESH_MS) {
                keysRefreshedAtMs = now;
                refreshKeys();
            }
        } catch (RuntimeException e) {
            GenerationEvents.failedTask("maintenance of generations", e);
        }
    }

    private void maintain(
            HeldGeneration held,
            ControlView view,
            long lastIndex,
            Optional<InstanceRef> current,
            long nowMs) {
        if (held.withCopy(copy -> copy.replicas().asOf()) < lastIndex) {
            // The copy was stored while an event was being applied to the others.
            applyEvents(held, view);
        }
        if (held.withOwner(GenerationOwner::epoch).isPresent()) {
            ownership.maintain(held, current);
        } else if (held.finishedAtMs() >= 0) {
            store.close(held);
        } else if (!held.withCopy(copy -> copy.isActive() && copy.mustBeKept(self))
                && nowMs - held.lastContactMs() > IDLE_COPY_MS) {
            store.remove(held);
        }
    }

    private void refreshKeys() {
        for (HeldGeneration held : store.all()) {
            if (!held.spec().idempotencyKey().isEmpty()
                    && held.withOwner(GenerationOwner::epoch).isPresent()) {
                keys.refresh(
                        new RegisterKey(
                                held.spec().account(),
                                held.spec().idempotencyKey(),
                                held.id(),
                                held.spec().bodyHash(),
                                null));
            }
        }
    }
}
