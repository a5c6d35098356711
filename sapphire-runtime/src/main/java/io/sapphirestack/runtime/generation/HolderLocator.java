package io.sapphirestack.runtime.generation;

import io.sapphirestack.core.control.ControlView;
import io.sapphirestack.core.control.InstanceInfo;
import io.sapphirestack.core.error.ExecutionState;
import io.sapphirestack.core.error.Refusal;
import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.generation.GenerationIds;
import io.sapphirestack.core.id.AccountId;
import io.sapphirestack.core.id.GenerationId;
import io.sapphirestack.core.id.InstanceId;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.runtime.generation.GenerationMessages.HolderState;
import io.sapphirestack.runtime.generation.GenerationMessages.LocateGeneration;
import io.sapphirestack.runtime.generation.GenerationMessages.LocateReply;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * Locates the best holder of a generation: queries the instance that accepted it, which the
 * identifier names, and the members that this instance reports; if none of them holds a copy, all
 * live instances. Thread-safe; calls block.
 */
final class HolderLocator {

    /** A holder and its reply. */
    record LocatedHolder(InstanceInfo instance, LocateReply reply) {}

    private static final long CALL_TIMEOUT_MS = 400;

    private final GenerationContext context;
    private final LastEvictionTime lastEviction;

    HolderLocator(GenerationContext context, LastEvictionTime lastEviction) {
        this.context = context;
        this.lastEviction = lastEviction;
    }

    /**
     * Locates the best holder.
     *
     * @param id identifier of the generation
     * @param account client account of the caller
     * @return a holder of the complete output, otherwise the owner with the highest epoch,
     *     otherwise a replica
     * @throws RefusedException if there is none, or the generation belongs to another account
     */
    LocatedHolder locate(GenerationId id, AccountId account) throws RefusedException {
        ControlView view = context.blackboard().control().read();
        Optional<InstanceRef> acceptedBy = GenerationIds.acceptingInstance(id);
        if (acceptedBy.isEmpty()) {
            throw notFound();
        }
        Map<InstanceId, Optional<LocateReply>> replies = new LinkedHashMap<>();
        LocateGeneration request = new LocateGeneration(id, account);
        query(view, List.of(acceptedBy.get().id()), request, replies);
        query(view, reportedMembers(replies), request, replies);
        if (bestHolder(view, replies).isEmpty()) {
            query(view, view.instances().keySet(), request, replies);
            query(view, reportedMembers(replies), request, replies);
        }
        for (Optional<LocateReply> reply : replies.values()) {
            if (reply.isPresent() && reply.get().foreign()) {
                throw notFound();
            }
        }
        Optional<LocatedHolder> holder = bestHolder(view, replies);
        if (holder.isPresent()) {
            return holder.get();
        }
        throw notLocated(view, acceptedBy.get(), replies);
    }

    private RefusedException notLocated(
            ControlView view,
            InstanceRef acceptedBy,
            Map<InstanceId, Optional<LocateReply>> replies) {
        boolean allReplied = replies.values().stream().allMatch(Optional::isPresent);
        boolean formerCopyExists =
                replies.values().stream()
                        .anyMatch(
                                reply ->
                                        reply.isPresent()
                                                && reply.get().state() != HolderState.UNKNOWN);
        // Evicted processes that still run join again within seconds and keep their copies, so a
        // generation is not reported as lost shortly after an eviction.
        if (!allReplied || formerCopyExists || lastEviction.isRecent(context.clock().nowMs())) {
            return new RefusedException(
                    new Refusal(
                            503,
                            "generation_unreachable",
                            "No holder of the generation replied.",
                            "locate",
                            acceptedBy.toString(),
                            ExecutionState.UNKNOWN,
                            1_000));
        }
        if (view.isLive(acceptedBy)) {
            return notFound();
        }
        return new RefusedException(
                new Refusal(
                        410,
                        "generation_lost",
                        "No instance holds the generation any more.",
                        "locate",
                        acceptedBy.toString(),
                        ExecutionState.UNKNOWN,
                        0));
    }

    static RefusedException notFound() {
        return new RefusedException(
                Refusal.notExecuted(404, "not_found", "locate", "There is no such generation."));
    }

    private void query(
            ControlView view,
            Collection<InstanceId> instances,
            LocateGeneration request,
            Map<InstanceId, Optional<LocateReply>> replies) {
        Map<InstanceId, CompletableFuture<LocateReply>> calls = new LinkedHashMap<>();
        for (InstanceId instance : instances) {
            InstanceInfo info = view.instances().get(instance);
            if (info != null && !replies.containsKey(instance)) {
                calls.put(
                        instance,
                        context.transport().call(info.peerAddress(), request, CALL_TIMEOUT_MS));
            }
        }
        for (Map.Entry<InstanceId, CompletableFuture<LocateReply>> call : calls.entrySet()) {
            replies.put(call.getKey(), ReplyFutures.await(call.getValue(), 2 * CALL_TIMEOUT_MS));
        }
    }

    private static Set<InstanceId> reportedMembers(Map<InstanceId, Optional<LocateReply>> replies) {
        Set<InstanceId> members = new LinkedHashSet<>();
        for (Optional<LocateReply> reply : replies.values()) {
            reply.ifPresent(value -> value.members().forEach(member -> members.add(member.id())));
        }
        return members;
    }

    private static Optional<LocatedHolder> bestHolder(
            ControlView view, Map<InstanceId, Optional<LocateReply>> replies) {
        List<LocatedHolder> holders = new ArrayList<>();
        replies.forEach(
                (instance, reply) -> {
                    if (reply.isPresent()
                            && !reply.get().foreign()
                            && reply.get().state().compareTo(HolderState.REPLICA) >= 0) {
                        holders.add(new LocatedHolder(view.instances().get(instance), reply.get()));
                    }
                });
        Comparator<LocatedHolder> byState = Comparator.comparing(holder -> holder.reply().state());
        return holders.stream().max(byState.thenComparing(holder -> holder.reply().epoch()));
    }
}
