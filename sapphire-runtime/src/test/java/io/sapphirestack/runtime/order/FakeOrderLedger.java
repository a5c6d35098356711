package io.sapphirestack.runtime.order;

import io.sapphirestack.core.control.ControlCommand;
import io.sapphirestack.core.control.ControlResult;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.core.id.OrderKey;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * In-memory order ledger in place of the replicated state machine. Applies the commands about
 * orders one at a time, in the order of the calls.
 */
final class FakeOrderLedger {

    private final Map<OrderKey, Entry> entries = new HashMap<>();

    ControlResult apply(ControlCommand command) {
        if (command instanceof ControlCommand.ReserveOrder reserve) {
            return reserve(reserve);
        }
        if (command instanceof ControlCommand.ReleaseOrder release) {
            return release(release);
        }
        if (command instanceof ControlCommand.CompleteOrder complete) {
            return complete(complete);
        }
        ControlCommand.ReadOrder read = (ControlCommand.ReadOrder) command;
        return state(entries.get(read.key()));
    }

    private ControlResult reserve(ControlCommand.ReserveOrder command) {
        Entry entry = entries.computeIfAbsent(command.key(), key -> new Entry());
        if (entry.released.contains(command.nonce())) {
            return new ControlResult.OrderReleased(entry.bodyHash);
        }
        if (!entry.bodyHash.isEmpty() && !entry.bodyHash.equals(command.bodyHash())) {
            return new ControlResult.OrderKeyReused();
        }
        if (entry.done == null && (entry.nonce.isEmpty() || entry.nonce.equals(command.nonce()))) {
            entry.bodyHash = command.bodyHash();
            entry.nonce = command.nonce();
            entry.holder = command.holder();
            return new ControlResult.OrderGranted(command.nonce());
        }
        return state(entry);
    }

    private ControlResult release(ControlCommand.ReleaseOrder command) {
        Entry entry = entries.computeIfAbsent(command.key(), key -> new Entry());
        entry.released.add(command.nonce());
        if (entry.done == null && entry.nonce.equals(command.nonce())) {
            entry.nonce = "";
        }
        return state(entry);
    }

    private ControlResult complete(ControlCommand.CompleteOrder command) {
        Entry entry = entries.get(command.key());
        if (entry != null && entry.done == null && entry.nonce.equals(command.nonce())) {
            entry.done =
                    new ControlResult.OrderDone(
                            entry.bodyHash,
                            command.status(),
                            command.contentType(),
                            command.answer());
        }
        return state(entry);
    }

    private static ControlResult state(Entry entry) {
        if (entry == null) {
            return new ControlResult.OrderNotFound();
        }
        if (entry.done != null) {
            return entry.done;
        }
        return entry.nonce.isEmpty()
                ? new ControlResult.OrderReleased(entry.bodyHash)
                : new ControlResult.OrderReserved(entry.holder, entry.nonce, entry.bodyHash);
    }

    private static final class Entry {
        private final Set<String> released = new HashSet<>();
        private String bodyHash = "";
        private String nonce = "";
        private InstanceRef holder;
        private ControlResult.OrderDone done;
    }
}
