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
 * Finds the best holder of a generation: the instance named in the identifier and the members that
 * it names first, then all live instances. Thread-safe; calls block.
 */
final class HolderLocator {

    /** Holder that was found. */
    record Found(InstanceInfo instance, LocateReply reply) {}

    private static final long CALL_TIMEOUT_MS = 400;

    private final GenerationContext context;
    private final EvictionTimes evictions;

    HolderLocator(GenerationContext context, EvictionTimes evictions) {
        this.context = context;
        this.evictions = evictions;
    }

    /**
     * Finds the best holder.
     *
     * @param id generation
     * @param account client account that asks
     * @return a holder that has the complete output, else the owner of the highest epoch, else a
     *     replica
     * @throws RefusedException if there is none
     */
    Found locate(GenerationId id, AccountId account) throws RefusedException {
        ControlView view = context.blackboard().control().read();
        Optional<InstanceRef> named = GenerationIds.acceptingInstance(id);
        if (named.isEmpty()) {
            throw notFound();
        }
        Map<InstanceId, Optional<LocateReply>> replies = new LinkedHashMap<>();
        LocateGeneration question = new LocateGeneration(id, account);
        ask(view, List.of(named.get().id()), question, replies);
        ask(view, membersIn(replies), question, replies);
        if (best(view, replies).isEmpty()) {
            ask(view, view.instances().keySet(), question, replies);
            ask(view, membersIn(replies), question, replies);
        }
        for (Optional<LocateReply> reply : replies.values()) {
            if (reply.isPresent() && reply.get().foreign()) {
                throw notFound();
            }
        }
        Optional<Found> found = best(view, replies);
        if (found.isPresent()) {
            return found.get();
        }
        throw missing(view, named.get(), replies);
    }

    private RefusedException missing(
            ControlView view, InstanceRef named, Map<InstanceId, Optional<LocateReply>> replies) {
        boolean allAnswered = replies.values().stream().allMatch(Optional::isPresent);
        boolean formerHolder =
                replies.values().stream()
                        .anyMatch(
                                reply ->
                                        reply.isPresent()
                                                && reply.get().state() != HolderState.UNKNOWN);
        // Evicted holders that kept their memory join again within seconds, so a generation is
        // not reported as lost directly after an eviction.
        if (!allAnswered || formerHolder || evictions.recently(context.clock().nowMs())) {
            return new RefusedException(
                    new Refusal(
                            503,
                            "generation_unreachable",
                            "No holder of the generation answered.",
                            "locate",
                            named.toString(),
                            ExecutionState.UNKNOWN,
                            1_000));
        }
        if (view.isLive(named)) {
            return notFound();
        }
        return new RefusedException(
                new Refusal(
                        410,
                        "generation_lost",
                        "No instance holds the generation any more.",
                        "locate",
                        named.toString(),
                        ExecutionState.UNKNOWN,
                        0));
    }

    static RefusedException notFound() {
        return new RefusedException(
                Refusal.notExecuted(404, "not_found", "locate", "There is no such generation."));
    }

    private void ask(
            ControlView view,
            Collection<InstanceId> instances,
            LocateGeneration question,
            Map<InstanceId, Optional<LocateReply>> replies) {
        Map<InstanceId, CompletableFuture<LocateReply>> calls = new LinkedHashMap<>();
        for (InstanceId instance : instances) {
            InstanceInfo info = view.instances().get(instance);
            if (info != null && !replies.containsKey(instance)) {
                calls.put(
                        instance,
                        context.transport().call(info.peerAddress(), question, CALL_TIMEOUT_MS));
            }
        }
        for (Map.Entry<InstanceId, CompletableFuture<LocateReply>> call : calls.entrySet()) {
            replies.put(call.getKey(), Calls.await(call.getValue(), 2 * CALL_TIMEOUT_MS));
        }
    }

    private static Set<InstanceId> membersIn(Map<InstanceId, Optional<LocateReply>> replies) {
        Set<InstanceId> members = new LinkedHashSet<>();
        for (Optional<LocateReply> reply : replies.values()) {
            reply.ifPresent(value -> value.members().forEach(member -> members.add(member.id())));
        }
        return members;
    }

    private static Optional<Found> best(
            ControlView view, Map<InstanceId, Optional<LocateReply>> replies) {
        List<Found> holders = new ArrayList<>();
        replies.forEach(
                (instance, reply) -> {
                    if (reply.isPresent()
                            && !reply.get().foreign()
                            && reply.get().state().compareTo(HolderState.REPLICA) >= 0) {
                        holders.add(new Found(view.instances().get(instance), reply.get()));
                    }
                });
        Comparator<Found> byState = Comparator.comparing(found -> found.reply().state());
        return holders.stream().max(byState.thenComparing(found -> found.reply().epoch()));
    }
}
