package io.sapphirestack.runtime.generation;

import io.sapphirestack.core.control.MembershipEvent;
import io.sapphirestack.core.generation.GenerationAppend;
import io.sapphirestack.core.generation.GenerationAppendReply;
import io.sapphirestack.core.generation.GenerationCopy;
import io.sapphirestack.core.generation.GenerationOwner;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.runtime.generation.GenerationMessages.AppendBatch;
import io.sapphirestack.runtime.generation.GenerationMessages.AppendBatchReply;
import io.sapphirestack.runtime.generation.GenerationMessages.CancelGeneration;
import io.sapphirestack.runtime.generation.GenerationMessages.CancelReply;
import io.sapphirestack.runtime.generation.GenerationMessages.DropGeneration;
import io.sapphirestack.runtime.generation.GenerationMessages.DropReply;
import io.sapphirestack.runtime.generation.GenerationMessages.FetchReply;
import io.sapphirestack.runtime.generation.GenerationMessages.FetchTokens;
import io.sapphirestack.runtime.generation.GenerationMessages.GenerationOpen;
import io.sapphirestack.runtime.generation.GenerationMessages.HolderState;
import io.sapphirestack.runtime.generation.GenerationMessages.LocateGeneration;
import io.sapphirestack.runtime.generation.GenerationMessages.LocateReply;
import io.sapphirestack.runtime.generation.GenerationMessages.RegisterKey;
import io.sapphirestack.runtime.transport.PeerHandlerRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** Serves the requests of other instances about generations. Thread-safe; never blocks. */
final class GenerationPeerHandlers {

    private final GenerationContext context;
    private final GenerationStore store;
    private final Ownership ownership;
    private final KeyDirectory keys;
    private final Supplier<Set<InstanceRef>> self;

    GenerationPeerHandlers(
            GenerationContext context,
            GenerationStore store,
            Ownership ownership,
            KeyDirectory keys,
            Supplier<Set<InstanceRef>> self) {
        this.context = context;
        this.store = store;
        this.ownership = ownership;
        this.keys = keys;
        this.self = self;
    }

    void register(PeerHandlerRegistry registry) {
        registry.register(GenerationOpen.class, request -> done(open(request)));
        registry.register(AppendBatch.class, request -> done(append(request)));
        registry.register(FetchTokens.class, this::fetch);
        registry.register(LocateGeneration.class, request -> done(locate(request)));
        registry.register(CancelGeneration.class, request -> done(cancel(request)));
        registry.register(RegisterKey.class, request -> done(keys.registerHere(request)));
        registry.register(DropGeneration.class, request -> done(drop(request)));
    }

    private static <R> CompletableFuture<R> done(R reply) {
        return CompletableFuture.completedFuture(reply);
    }

    private GenerationAppendReply open(GenerationOpen request) {
        requireSelf(request.target());
        long now = context.clock().nowMs();
        HeldGeneration held =
                store.add(
                        new HeldGeneration(
                                GenerationCopy.opened(request.spec(), request.append().epoch()),
                                now));
        return take(held, request.append());
    }

    private AppendBatchReply append(AppendBatch request) {
        requireSelf(request.target());
        List<GenerationAppendReply> replies = new ArrayList<>(request.items().size());
        for (GenerationAppend item : request.items()) {
            Optional<HeldGeneration> held = store.find(item.generation());
            replies.add(
                    held.isPresent()
                            ? take(held.get(), item)
                            : new GenerationAppendReply(
                                    item.generation(),
                                    GenerationAppendReply.Status.UNKNOWN,
                                    item.epoch(),
                                    0,
                                    0));
        }
        return new AppendBatchReply(replies);
    }

    /** A process that lost its memory must not acknowledge for the incarnation that had it. */
    private void requireSelf(InstanceRef target) {
        if (!self.get().contains(target)) {
            throw new IllegalStateException("this process never was " + target);
        }
    }

    private GenerationAppendReply take(HeldGeneration held, GenerationAppend append) {
        boolean owned = held.withOwner(GenerationOwner::epoch).isPresent();
        List<MembershipEvent> events = context.blackboard().control().read().events();
        GenerationAppendReply reply =
                held.onAppend(append, events, self.get(), context.clock().nowMs());
        if (owned && held.withOwner(GenerationOwner::epoch).isEmpty()) {
            GenerationEvents.lostOwnership(held.id(), append.epoch());
            ownership.stop(held);
        }
        ownership.onProgress(held);
        return reply;
    }

    private CompletableFuture<FetchReply> fetch(FetchTokens request) {
        Optional<HeldGeneration> held = store.find(request.generation());
        if (held.isEmpty() || !held.get().spec().account().equals(request.account())) {
            return done(new FetchReply(HolderState.UNKNOWN, false, null));
        }
        HolderState state = held.get().state(self.get());
        if (state.compareTo(HolderState.REPLICA) < 0) {
            return done(new FetchReply(state, false, null));
        }
        return held.get().fetch(request.fromOffset(), request.waitMs());
    }

    private LocateReply locate(LocateGeneration request) {
        Optional<HeldGeneration> held = store.find(request.generation());
        if (held.isEmpty()) {
            return new LocateReply(HolderState.UNKNOWN, false, 0, List.of(), null);
        }
        if (!held.get().spec().account().equals(request.account())) {
            return new LocateReply(HolderState.UNKNOWN, true, 0, List.of(), null);
        }
        return new LocateReply(
                held.get().state(self.get()),
                false,
                held.get().withCopy(copy -> copy.replicas().epoch()),
                held.get().withCopy(copy -> copy.replicas().members()),
                held.get().status());
    }

    private CancelReply cancel(CancelGeneration request) {
        Optional<HeldGeneration> held = store.find(request.generation());
        boolean own = held.isPresent() && held.get().spec().account().equals(request.account());
        return new CancelReply(own && ownership.cancel(held.get()));
    }

    private DropReply drop(DropGeneration request) {
        Optional<HeldGeneration> held =
                store.find(request.generation())
                        .filter(copy -> !copy.withCopy(GenerationCopy::isActive))
                        .filter(copy -> copy.withCopy(c -> c.log().epoch()) == request.epoch());
        held.ifPresent(store::remove);
        return new DropReply(held.isPresent());
    }
}
