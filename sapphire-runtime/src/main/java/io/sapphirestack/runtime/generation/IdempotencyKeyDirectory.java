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
 * Directory of idempotency keys. Stores the registrations for which this instance is responsible
 * and registers keys at the two instances that are responsible for them. Thread-safe.
 */
final class IdempotencyKeyDirectory {

    /**
     * Time after which an entry that was not refreshed is dropped, in milliseconds. Owners refresh
     * the keys of their generations, so that only entries of dropped generations expire.
     */
    private static final long RETENTION_MS = 15 * 60_000;

    private static final long CALL_TIMEOUT_MS = 500;

    private record AccountKey(AccountId account, String key) {}

    private record Entry(RegisterKeyReply registration, long refreshedAtMs) {}

    private final ConcurrentHashMap<AccountKey, Entry> entries = new ConcurrentHashMap<>();
    private final GenerationContext context;

    IdempotencyKeyDirectory(GenerationContext context) {
        this.context = context;
    }

    /** Registers a key at this instance, unless it is registered already; refreshes its entry. */
    RegisterKeyReply registerLocally(RegisterKey request) {
        long nowMs = context.clock().nowMs();
        return entries.compute(
                        new AccountKey(request.account(), request.key()),
                        (key, entry) -> {
                            boolean keep =
                                    entry != null
                                            && !entry.registration()
                                                    .generation()
                                                    .equals(request.replaces());
                            RegisterKeyReply registration =
                                    keep
                                            ? entry.registration()
                                            : new RegisterKeyReply(
                                                    request.generation(), request.bodyHash());
                            return new Entry(registration, nowMs);
                        })
                .registration();
    }

    /**
     * Registers a key at the responsible instances. It calls them one after the other and passes on
     * the result of the first, so that of two concurrent registrations the same one wins at both.
     *
     * @param request registration
     * @return registration that is now in force, or empty if no responsible instance replied
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
                    ReplyFutures.await(
                            context.transport().call(info.peerAddress(), next, CALL_TIMEOUT_MS),
                            2 * CALL_TIMEOUT_MS);
            winner = reply.isPresent() ? reply : winner;
        }
        return winner;
    }

    /**
     * Registers the key of an owned generation again, without waiting for replies. This keeps the
     * entries and creates them at instances that have become responsible.
     */
    void refresh(RegisterKey request) {
        ControlView view = context.blackboard().control().read();
        for (InstanceRef ref :
                ReplicaPlacement.chooseKeyHolders(
                        request.account(), request.key(), view.instances().values())) {
            context.transport()
                    .call(view.instances().get(ref.id()).peerAddress(), request, CALL_TIMEOUT_MS);
        }
    }

    /** Drops the entries that were not refreshed within the retention time. */
    void dropExpired() {
        long nowMs = context.clock().nowMs();
        entries.values().removeIf(entry -> nowMs - entry.refreshedAtMs() > RETENTION_MS);
    }
}
