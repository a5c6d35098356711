package io.sapphirestack.runtime.generation;

import io.sapphirestack.core.control.ControlView;
import io.sapphirestack.core.control.InstanceInfo;
import io.sapphirestack.core.generation.ReplicaPlacement;
import io.sapphirestack.core.id.AccountId;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.runtime.generation.GenerationMessages.RegisterKey;
import io.sapphirestack.runtime.generation.GenerationMessages.RegisterKeyReply;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Idempotency keys that this instance remembers, and their registration at the two instances that
 * are responsible for a key. Thread-safe.
 */
final class KeyDirectory {

    /** Entries are refreshed by the owner, so that only those of dropped generations grow old. */
    private static final long RETENTION_MS = 15 * 60_000;

    private static final long CALL_TIMEOUT_MS = 500;

    private record Key(AccountId account, String key) {}

    private record Entry(RegisterKeyReply value, long touchedAtMs) {}

    private final ConcurrentHashMap<Key, Entry> entries = new ConcurrentHashMap<>();
    private final GenerationContext context;

    KeyDirectory(GenerationContext context) {
        this.context = context;
    }

    /** Serves a registration. */
    RegisterKeyReply registerHere(RegisterKey request) {
        long now = context.clock().nowMs();
        return entries.compute(
                        new Key(request.account(), request.key()),
                        (key, entry) -> {
                            boolean keep =
                                    entry != null
                                            && !entry.value()
                                                    .generation()
                                                    .equals(request.replaces());
                            RegisterKeyReply value =
                                    keep
                                            ? entry.value()
                                            : new RegisterKeyReply(
                                                    request.generation(), request.bodyHash());
                            return new Entry(value, now);
                        })
                .value();
    }

    /**
     * Registers a key at the responsible instances, one after the other, so that of two concurrent
     * registrations the same one wins at both.
     *
     * @param request registration
     * @return what the key names now, or empty if no responsible instance answered
     */
    Optional<RegisterKeyReply> register(RegisterKey request) {
        Optional<RegisterKeyReply> winner = Optional.empty();
        ControlView view = context.blackboard().control().read();
        for (InstanceRef ref :
                ReplicaPlacement.chooseKeyHolders(
                        request.account(), request.key(), view.instances().values())) {
            InstanceInfo info = view.instances().get(ref.id());
            RegisterKey next =
                    winner.map(
                                    value ->
                                            new RegisterKey(
                                                    request.account(),
                                                    request.key(),
                                                    value.generation(),
                                                    value.bodyHash(),
                                                    request.replaces()))
                            .orElse(request);
            Optional<RegisterKeyReply> reply =
                    Calls.await(
                            context.transport().call(info.peerAddress(), next, CALL_TIMEOUT_MS),
                            2 * CALL_TIMEOUT_MS);
            winner = reply.isPresent() ? reply : winner;
        }
        return winner;
    }

    /** Registers the key of an owned generation again without waiting, for changed members. */
    void refresh(RegisterKey request) {
        ControlView view = context.blackboard().control().read();
        for (InstanceRef ref :
                ReplicaPlacement.chooseKeyHolders(
                        request.account(), request.key(), view.instances().values())) {
            context.transport()
                    .call(view.instances().get(ref.id()).peerAddress(), request, CALL_TIMEOUT_MS);
        }
    }

    /** Forgets entries that were not refreshed. */
    void dropOld() {
        long now = context.clock().nowMs();
        entries.values().removeIf(entry -> now - entry.touchedAtMs() > RETENTION_MS);
    }
}
