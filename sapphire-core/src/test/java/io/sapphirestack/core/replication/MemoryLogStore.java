package io.sapphirestack.core.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * In-memory storage that survives simulated crashes. A batch that is interrupted by a crash is
 * stored up to a random step.
 */
final class MemoryLogStore {

    private HardState hardState;
    private Optional<StoredSnapshot> snapshot = Optional.empty();
    private List<ReplicationEntry> entries = new ArrayList<>();

    MemoryLogStore(String voterId) {
        hardState = new HardState(voterId, "", 0, "");
    }

    String voterId() {
        return hardState.voterId();
    }

    StoredState load() {
        return new StoredState(hardState, snapshot, entries);
    }

    void persist(PersistBatch batch) {
        persistPrefix(batch, Integer.MAX_VALUE);
    }

    /** Simulates a crash during a write: only a random number of first steps becomes durable. */
    void persistPartially(PersistBatch batch, Random random) {
        persistPrefix(batch, random.nextInt(4 + batch.entries().size()));
    }

    private void persistPrefix(PersistBatch batch, int steps) {
        if (steps >= 1) {
            batch.hardState().ifPresent(next -> hardState = next);
        }
        if (steps >= 2 && batch.snapshot().isPresent()) {
            storeSnapshot(batch.snapshot().get(), batch.discardLog());
        }
        if (steps >= 3 && batch.truncateFrom() != 0) {
            entries.removeIf(entry -> entry.index() >= batch.truncateFrom());
        }
        for (int i = 0; i < batch.entries().size() && i + 4 <= steps; i++) {
            entries.add(batch.entries().get(i));
        }
    }

    private void storeSnapshot(StoredSnapshot next, boolean discardLog) {
        snapshot = Optional.of(next);
        long index = next.meta().index();
        entries =
                new ArrayList<>(
                        entries.stream()
                                .filter(entry -> !discardLog && entry.index() > index)
                                .toList());
    }
}
