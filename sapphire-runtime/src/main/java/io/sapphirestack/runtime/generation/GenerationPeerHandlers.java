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

/** Handles the messages of other instances about generations. Thread-safe; never blocks. */
final class GenerationPeerHandlers {

    private final GenerationContext context;
    private final GenerationStore store;
    private final OwnershipController ownership;
    private final IdempotencyKeyDirectory keyDirectory;
    private final Supplier<Set<InstanceRef>> selfRefs;

    GenerationPeerHandlers(
            GenerationContext context,
            GenerationStore store,
            OwnershipController ownership,
            IdempotencyKeyDirectory keyDirectory,
            Supplier<Set<InstanceRef>> selfRefs) {
        this.context = context;
        this.store = store;
        this.ownership = ownership;
        this.keyDirectory = keyDirectory;
        this.selfRefs = selfRefs;
    }

    void register(PeerHandlerRegistry registry) {
        registry.register(GenerationOpen.class, request -> completed(open(request)));
        registry.register(AppendBatch.class, request -> completed(append(request)));
        registry.register(FetchTokens.class, this::fetch);
        registry.register(LocateGeneration.class, request -> completed(locate(request)));
        registry.register(CancelGeneration.class, request -> completed(cancel(request)));
        registry.register(
                RegisterKey.class, request -> completed(keyDirectory.registerLocally(request)));
        registry.register(DropGeneration.class, request -> completed(drop(request)));
    }

    private static <R> CompletableFuture<R> completed(R reply) {
        return CompletableFuture.completedFuture(reply);
    }

    private GenerationAppendReply open(GenerationOpen request) {
        requireSelf(request.target());
        long nowMs = context.clock().nowMs();
        LocalGeneration generation =
                store.add(
                        new LocalGeneration(
                                GenerationCopy.opened(request.spec(), request.append().epoch()),
                                nowMs));
        return applyAppend(generation, request.append());
    }

    private AppendBatchReply append(AppendBatch request) {
        requireSelf(request.target());
        List<GenerationAppendReply> replies = new ArrayList<>(request.items().size());
        for (GenerationAppend item : request.items()) {
            Optional<LocalGeneration> generation = store.find(item.generation());
            replies.add(
                    generation.isPresent()
                            ? applyAppend(generation.get(), item)
                            : new GenerationAppendReply(
                                    item.generation(),
                                    GenerationAppendReply.Status.UNKNOWN,
                                    item.epoch(),
                                    0,
                                    0));
        }
        return new AppendBatchReply(replies);
    }

    /**
     * Refuses a message to an incarnation of another process. A restarted process has lost its
     * copies and must not acknowledge appends for the earlier process.
     */
    private void requireSelf(InstanceRef target) {
        if (!selfRefs.get().contains(target)) {
            throw new IllegalStateException(
                    "message is for " + target + ", which is not this process");
        }
    }

    private GenerationAppendReply applyAppend(LocalGeneration generation, GenerationAppend append) {
        boolean wasOwner = generation.withOwner(GenerationOwner::epoch).isPresent();
        List<MembershipEvent> events = context.blackboard().control().read().events();
        GenerationAppendReply reply =
                generation.onAppend(append, events, selfRefs.get(), context.clock().nowMs());
        if (wasOwner && generation.withOwner(GenerationOwner::epoch).isEmpty()) {
            GenerationEvents.lostOwnership(generation.id(), append.epoch());
            ownership.stopAttempts(generation);
        }
        ownership.onProgress(generation);
        return reply;
    }

    private CompletableFuture<FetchReply> fetch(FetchTokens request) {
        Optional<LocalGeneration> generation = store.find(request.generation());
        if (generation.isEmpty() || !generation.get().spec().account().equals(request.account())) {
            return completed(new FetchReply(HolderState.UNKNOWN, false, null));
        }
        HolderState state = generation.get().holderState(selfRefs.get());
        if (state.compareTo(HolderState.REPLICA) < 0) {
            return completed(new FetchReply(state, false, null));
        }
        return generation.get().fetch(request.fromOffset(), request.waitMs());
    }

    private LocateReply locate(LocateGeneration request) {
        Optional<LocalGeneration> generation = store.find(request.generation());
        if (generation.isEmpty()) {
            return new LocateReply(HolderState.UNKNOWN, false, 0, List.of(), null);
        }
        if (!generation.get().spec().account().equals(request.account())) {
            return new LocateReply(HolderState.UNKNOWN, true, 0, List.of(), null);
        }
        return new LocateReply(
                generation.get().holderState(selfRefs.get()),
                false,
                generation.get().withCopy(copy -> copy.replicas().epoch()),
                generation.get().withCopy(copy -> copy.replicas().members()),
                generation.get().status());
    }

    private CancelReply cancel(CancelGeneration request) {
        Optional<LocalGeneration> generation = store.find(request.generation());
        boolean sameAccount =
                generation.isPresent()
                        && generation.get().spec().account().equals(request.account());
        return new CancelReply(sameAccount && ownership.cancel(generation.get()));
    }

    private DropReply drop(DropGeneration request) {
        Optional<LocalGeneration> generation =
                store.find(request.generation())
                        .filter(copy -> !copy.withCopy(GenerationCopy::isActive))
                        .filter(copy -> copy.withCopy(c -> c.log().epoch()) == request.epoch());
        generation.ifPresent(store::remove);
        return new DropReply(generation.isPresent());
    }
}
