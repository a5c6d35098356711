package io.sapphirestack.runtime.storage;

import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.core.replication.ClusterMembership;
import io.sapphirestack.core.replication.HardState;
import io.sapphirestack.core.replication.LogStoreException;
import io.sapphirestack.core.replication.PersistBatch;
import io.sapphirestack.core.replication.ReplicationEntry;
import io.sapphirestack.core.replication.SnapshotMeta;
import io.sapphirestack.core.replication.StoredSnapshot;
import io.sapphirestack.core.replication.StoredState;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.lifecycle.AfterTry;

/**
 * Guards against persisted state that is missing or reverted after a restart. Random batches are
 * persisted; some are aborted at a random step, and unsynced bytes are then cut off at a random
 * offset, as a crash can do.
 */
class DiskLogStorePropertyTests {

    private Path folder;
    private DiskLogStore store;
    private boolean crashArmed;
    private int stepsBeforeCrash;
    private HardState hardState;
    private long snapshotIndex;
    private final List<ReplicationEntry> entries = new ArrayList<>();

    @Property(seed = "20261204", tries = 60)
    void storeKeepsAllPersistedStateAcrossRestartsAndCrashes(@ForAll long seed) throws Exception {
        Random random = new Random(seed);
        folder = Files.createTempDirectory("store");
        open();
        hardState = store.load().hardState();
        snapshotIndex = 0;
        entries.clear();
        for (int i = 0; i < 25; i++) {
            PersistBatch batch = randomBatch(random, i);
            if (random.nextInt(4) == 0) {
                crashDuring(batch, random);
            } else {
                store.persist(batch);
                applyToModel(batch);
                if (random.nextInt(4) == 0) {
                    store.close();
                    reopenAndCheck();
                }
            }
        }
    }

    @AfterTry
    void removeFolder() throws Exception {
        store.close();
        try (Stream<Path> found = Files.walk(folder)) {
            for (Path file : found.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    private void crashDuring(PersistBatch batch, Random random) throws Exception {
        Optional<Path> log = lastLog();
        long syncedBytes = log.isPresent() ? Files.size(log.get()) : 0;
        stepsBeforeCrash = random.nextInt(10);
        crashArmed = true;
        boolean completed = false;
        try {
            store.persist(batch);
            completed = true;
        } catch (IllegalStateException e) {
            assertThat(e).hasMessage("crash");
        }
        crashArmed = false;
        store.close();
        if (completed) {
            applyToModel(batch);
        } else if (log.isPresent() && log.equals(lastLog())) {
            // A crash can lose unsynced bytes from any offset on.
            long size = Files.size(log.get());
            if (size > syncedBytes && batch.truncateFrom() == 0) {
                long keep = syncedBytes + random.nextInt((int) (size - syncedBytes) + 1);
                try (FileChannel channel = FileChannel.open(log.get(), StandardOpenOption.WRITE)) {
                    channel.truncate(keep);
                }
            }
        }
        if (completed) {
            reopenAndCheck();
        } else {
            reopenAfterCrash(batch);
        }
    }

    /**
     * Checks that the state after a crash is the old one with the first steps of the batch applied,
     * and continues with it.
     */
    private void reopenAfterCrash(PersistBatch batch) throws LogStoreException {
        open();
        StoredState state = store.load();
        assertThat(state.hardState()).isIn(hardState, batch.hardState().orElse(hardState));
        long snapshotIndexOnDisk = state.snapshot().map(s -> s.meta().index()).orElse(0L);
        long batchSnapshotIndex = batch.snapshot().map(s -> s.meta().index()).orElse(snapshotIndex);
        assertThat(snapshotIndexOnDisk).isIn(snapshotIndex, batchSnapshotIndex);
        int oldEntryCount = 0;
        for (ReplicationEntry entry : state.entries()) {
            boolean isOld = entries.stream().anyMatch(e -> sameEntry(e, entry));
            boolean isFromBatch = batch.entries().stream().anyMatch(e -> sameEntry(e, entry));
            assertThat(isOld || isFromBatch).as("entry %s", entry.index()).isTrue();
            oldEntryCount += isOld ? 1 : 0;
        }
        long requiredOldEntryCount =
                entries.stream()
                        .filter(e -> e.index() > snapshotIndexOnDisk)
                        .filter(e -> batch.truncateFrom() == 0 || e.index() < batch.truncateFrom())
                        .count();
        assertThat(oldEntryCount).isGreaterThanOrEqualTo((int) requiredOldEntryCount);
        hardState = state.hardState();
        snapshotIndex = snapshotIndexOnDisk;
        entries.clear();
        entries.addAll(state.entries());
    }

    private void applyToModel(PersistBatch batch) {
        hardState = batch.hardState().orElse(hardState);
        batch.snapshot().ifPresent(snapshot -> snapshotIndex = snapshot.meta().index());
        entries.removeIf(
                entry ->
                        entry.index() <= snapshotIndex
                                || batch.truncateFrom() != 0
                                        && entry.index() >= batch.truncateFrom());
        entries.addAll(batch.entries());
    }

    private void reopenAndCheck() throws LogStoreException {
        open();
        StoredState state = store.load();
        assertThat(state.hardState()).isEqualTo(hardState);
        assertThat(state.snapshot().map(s -> s.meta().index()).orElse(0L)).isEqualTo(snapshotIndex);
        assertThat(state.entries()).hasSameSizeAs(entries);
        for (int i = 0; i < entries.size(); i++) {
            assertThat(sameEntry(state.entries().get(i), entries.get(i))).isTrue();
        }
    }

    private void open() {
        store =
                new DiskLogStore(
                        folder,
                        step -> {
                            if (crashArmed && stepsBeforeCrash-- == 0) {
                                throw new IllegalStateException("crash");
                            }
                        });
    }

    private PersistBatch randomBatch(Random random, int number) {
        long lastIndex = snapshotIndex + entries.size();
        Optional<HardState> nextHardState =
                random.nextInt(3) == 0
                        ? Optional.of(new HardState(hardState.voterId(), "K", number, "v" + number))
                        : Optional.empty();
        Optional<StoredSnapshot> snapshot = Optional.empty();
        long truncateFrom = 0;
        int choice = random.nextInt(6);
        if (choice == 0 && !entries.isEmpty()) {
            ReplicationEntry covered = entries.get(random.nextInt(entries.size()));
            SnapshotMeta meta =
                    new SnapshotMeta(covered.index(), covered.term(), 0, ClusterMembership.NONE);
            snapshot = Optional.of(new StoredSnapshot(meta, new byte[random.nextInt(200)]));
        } else if (choice == 1 && !entries.isEmpty()) {
            truncateFrom = entries.get(random.nextInt(entries.size())).index();
            lastIndex = truncateFrom - 1;
        }
        List<ReplicationEntry> next = new ArrayList<>();
        for (int i = 1 + random.nextInt(4); i > 0; i--) {
            byte[] command = new byte[random.nextInt(random.nextInt(80) == 0 ? 9_000_000 : 100)];
            random.nextBytes(command);
            next.add(new ReplicationEntry(++lastIndex, number + 1, 0, command, Optional.empty()));
        }
        return new PersistBatch(number + 1, nextHardState, snapshot, false, truncateFrom, next);
    }

    private Optional<Path> lastLog() throws IOException {
        try (Stream<Path> found = Files.list(folder)) {
            return found.filter(file -> file.getFileName().toString().startsWith("log-"))
                    .max(Comparator.naturalOrder());
        }
    }

    private static boolean sameEntry(ReplicationEntry a, ReplicationEntry b) {
        return a.index() == b.index()
                && a.term() == b.term()
                && Arrays.equals(a.command(), b.command());
    }
}
