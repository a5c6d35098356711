package io.sapphirestack.runtime.storage;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.sapphirestack.core.replication.ClusterMembership;
import io.sapphirestack.core.replication.DamagedLogException;
import io.sapphirestack.core.replication.HardState;
import io.sapphirestack.core.replication.LogStoreException;
import io.sapphirestack.core.replication.PersistBatch;
import io.sapphirestack.core.replication.ReplicationEntry;
import io.sapphirestack.core.replication.SnapshotMeta;
import io.sapphirestack.core.replication.StoredSnapshot;
import io.sapphirestack.core.replication.StoredState;
import io.sapphirestack.runtime.connection.DirectMemory;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against acknowledged entries that are missing or changed after a crash at any step of a
 * write, and against corrupted files that are loaded without an error.
 */
class DiskLogStoreTests {

    private static final String LOG_1 = "log-0000000000000000001";

    private static final ClusterMembership VOTERS = new ClusterMembership(Map.of("A", "a:1"));

    @TempDir Path tempFolder;

    private long batchNumber;

    @Test
    void persistedStateIsLoadedAgain() throws Exception {
        Path folder = tempFolder.resolve("s");
        HardState hardState;
        try (DiskLogStore store = new DiskLogStore(folder)) {
            hardState = new HardState(store.load().hardState().voterId(), "K", 3, "A");
            store.persist(batch(Optional.of(hardState), 0, entries(1, 3, 1)));
            store.persist(batch(Optional.empty(), 3, entries(3, 5, 2)));
        }
        StoredState state = load(folder);

        assertThat(state.hardState()).isEqualTo(hardState);
        assertThat(indexesAndTerms(state)).containsExactly("1/1", "2/1", "3/2", "4/2", "5/2");
        assertThat(state.entries().get(0).membership()).contains(VOTERS);
        assertThat(state.entries().get(4).command()).containsExactly(command(5, 2));
    }

    @Test
    void emptyFolderGetsANewVoterIdentityThatIsKept() throws Exception {
        String first = load(tempFolder.resolve("a")).hardState().voterId();

        assertThat(load(tempFolder.resolve("a")).hardState().voterId()).isEqualTo(first);
        assertThat(load(tempFolder.resolve("b")).hardState().voterId()).isNotEqualTo(first);
    }

    @Test
    void lastWriteTruncatedAtAnyByteLosesOnlyThatWrite() throws Exception {
        Path original = tempFolder.resolve("original");
        long sizeBeforeLastWrite;
        try (DiskLogStore store = new DiskLogStore(original)) {
            store.load();
            store.persist(batch(Optional.empty(), 0, entries(1, 4, 1)));
            sizeBeforeLastWrite = Files.size(log(original));
            store.persist(batch(Optional.empty(), 0, entries(5, 7, 1)));
        }
        byte[] content = Files.readAllBytes(log(original));
        for (int length = (int) sizeBeforeLastWrite; length < content.length; length++) {
            Path copy = copy(original, "cut" + length);
            Files.write(log(copy), Arrays.copyOf(content, length));

            StoredState state = load(copy);
            assertThat(state.entries()).as("cut at %s", length).hasSizeBetween(4, 7);
            appendAndReload(copy, state.entries().size() + 1);
        }
    }

    @Test
    void corruptedByteInASyncedWriteFailsTheLoadOrChangesNothing() throws Exception {
        Path original = tempFolder.resolve("original");
        try (DiskLogStore store = new DiskLogStore(original)) {
            store.load();
            store.persist(batch(Optional.empty(), 0, entries(1, 2, 1)));
            store.persist(batch(Optional.empty(), 0, entries(3, 4, 1)));
        }
        byte[] content = Files.readAllBytes(log(original));
        for (int at = 0; at < content.length; at++) {
            Path copy = copy(original, "flip" + at);
            byte[] damaged = content.clone();
            damaged[at] ^= 0x10;
            Files.write(log(copy), damaged);

            boolean loadFailed = false;
            try {
                // Only damage of the last marker may go unnoticed, since no entry follows it.
                assertThat(load(copy).entries()).as("flip at %s", at).hasSize(4);
            } catch (LogStoreException e) {
                loadFailed = true;
                assertThat(e).hasMessageContaining("damaged").hasMessageContaining("log-");
            }
            assertThat(loadFailed || at >= content.length - 25).as("flip at %s", at).isTrue();
        }
    }

    @Test
    void corruptedByteInHardStateOrSnapshotFailsTheLoad() throws Exception {
        Path original = tempFolder.resolve("original");
        try (DiskLogStore store = new DiskLogStore(original)) {
            store.load();
            store.persist(batch(Optional.empty(), 0, entries(1, 4, 1)));
            store.persist(snapshotBatch(3, false));
        }
        for (Path file : files(original)) {
            if (!file.getFileName().toString().matches("hard-state|snapshot-.*")) {
                continue;
            }
            byte[] content = Files.readAllBytes(file);
            for (int at = 0; at < content.length; at++) {
                Path copy = copy(original, file.getFileName() + "-" + at);
                byte[] damaged = content.clone();
                damaged[at] ^= 0x01;
                Files.write(copy.resolve(file.getFileName()), damaged);

                assertThatThrownBy(() -> load(copy))
                        .as("%s at %s", file.getFileName(), at)
                        .isInstanceOf(LogStoreException.class);
            }
        }
    }

    @Test
    void crashAtEveryStepOfACompactionKeepsTheState() throws Exception {
        crashAtEachStep(
                "compaction",
                store -> store.persist(snapshotBatch(3, false)),
                state -> {
                    long snapshotIndex = state.snapshot().map(s -> s.meta().index()).orElse(0L);
                    assertThat(snapshotIndex).isIn(2L, 3L);
                    assertThat(snapshotIndex + state.entries().size()).isEqualTo(4);
                });
    }

    @Test
    void crashAtEveryStepOfAnInstalledSnapshotGivesTheOldOrTheNewState() throws Exception {
        crashAtEachStep(
                "install",
                store -> store.persist(snapshotBatch(9, true)),
                state -> {
                    long snapshotIndex = state.snapshot().map(s -> s.meta().index()).orElse(0L);
                    assertThat(snapshotIndex).isIn(2L, 9L);
                    assertThat(state.entries()).hasSize(snapshotIndex == 2 ? 2 : 0);
                });
    }

    @Test
    void crashAtEveryStepOfAHardStateWriteKeepsTheOldOrTheNewOne() throws Exception {
        HardState next = new HardState("X", "K", 9, "B");
        crashAtEachStep(
                "hard state",
                store -> store.persist(batch(Optional.of(next), 0, List.of())),
                state ->
                        assertThat(state.hardState().equals(next) || state.hardState().term() == 0)
                                .isTrue());
    }

    @Test
    void crashAtEveryStepOfALogTailReplacementKeepsTheEntriesBeforeIt() throws Exception {
        crashAtEachStep(
                "replaced tail",
                store -> store.persist(batch(Optional.empty(), 4, entries(4, 6, 2))),
                state -> {
                    assertThat(state.entries().get(0).term()).isEqualTo(1);
                    long oldTail = state.entries().stream().filter(e -> e.term() == 1).count();
                    long newTail = state.entries().stream().filter(e -> e.term() == 2).count();
                    assertThat(oldTail == 2 && newTail == 0 || oldTail == 1 && newTail <= 3)
                            .isTrue();
                });
    }

    @Test
    void logThatConflictsWithTheSnapshotIsRemoved() throws Exception {
        Path folder = tempFolder.resolve("s");
        try (DiskLogStore store = new DiskLogStore(folder)) {
            store.load();
            store.persist(batch(Optional.empty(), 0, entries(1, 4, 1)));
        }
        Path stale = copy(folder, "stale");
        try (DiskLogStore store = new DiskLogStore(folder)) {
            store.load();
            store.persist(snapshotBatch(3, true));
        }
        Files.copy(log(stale), folder.resolve(log(stale).getFileName()));

        StoredState state = load(folder);
        assertThat(state.snapshot().orElseThrow().meta().index()).isEqualTo(3);
        assertThat(state.entries()).isEmpty();
    }

    @Test
    void missingHardStateNextToALogFailsTheLoad() throws Exception {
        Path folder = tempFolder.resolve("s");
        try (DiskLogStore store = new DiskLogStore(folder)) {
            store.load();
            store.persist(batch(Optional.empty(), 0, entries(1, 2, 1)));
        }
        Files.delete(folder.resolve("hard-state"));

        assertThatThrownBy(() -> load(folder)).hasMessageContaining("missing");
    }

    @Test
    void missingSegmentFailsTheLoad() throws Exception {
        Path folder = tempFolder.resolve("s");
        writeThreeSegments(folder);
        Files.delete(
                files(folder).stream()
                        .filter(file -> file.getFileName().toString().matches("log-0*2"))
                        .findFirst()
                        .orElseThrow());

        assertThatThrownBy(() -> load(folder)).hasMessageContaining("gap");
    }

    /**
     * The last marker of a segment is not synced when the next segment begins, so a loss of power
     * can tear it. All entries before it were synced.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 8, 17, 24, 25})
    void tornMarkerAtTheEndOfAnEarlierSegmentLosesNothing(int lostBytes) throws Exception {
        Path folder = tempFolder.resolve("s");
        writeThreeSegments(folder);
        Path earlier = folder.resolve(LOG_1);
        byte[] content = Files.readAllBytes(earlier);
        Path zeroed = copy(folder, "zeroed");
        Files.write(earlier, Arrays.copyOf(content, content.length - lostBytes));
        Arrays.fill(content, content.length - lostBytes, content.length, (byte) 0);
        Files.write(zeroed.resolve(LOG_1), content);

        for (Path torn : List.of(folder, zeroed)) {
            assertThat(indexesAndTerms(load(torn))).containsExactly("1/1", "2/1", "3/1");
            assertThat(indexesAndTerms(load(torn))).containsExactly("1/1", "2/1", "3/1");
        }
    }

    /**
     * The direct memory of a process may be as small as one segment. The JDK keeps a direct buffer
     * of the size of the longest read or write for each thread.
     */
    @Test
    void largeEntriesAndSnapshotsTakeLittleDirectMemory() throws Exception {
        Path folder = tempFolder.resolve("s");
        byte[] data = new byte[9 * 1024 * 1024];
        long before = DirectMemory.usedBytes();
        CompletableFuture<Long> used = new CompletableFuture<>();
        Thread voter =
                new Thread(
                        () -> {
                            try {
                                writeThreeSegments(folder);
                                try (DiskLogStore store = new DiskLogStore(folder)) {
                                    store.load();
                                    store.persist(snapshotBatch(2, false, data));
                                }
                                load(folder);
                                used.complete(DirectMemory.usedBytes() - before);
                            } catch (Exception e) {
                                used.completeExceptionally(e);
                            }
                        });
        voter.start();

        assertThat(used.get(60, TimeUnit.SECONDS)).isLessThanOrEqualTo(256 * 1024);
        assertThat(load(folder).snapshot().get().data()).hasSize(data.length);
    }

    @Test
    void lostEntryAtTheEndOfAnEarlierSegmentFailsTheLoadAndChangesNothing() throws Exception {
        Path folder = tempFolder.resolve("s");
        writeThreeSegments(folder);
        Path earlier = folder.resolve(LOG_1);
        byte[] torn = Arrays.copyOf(Files.readAllBytes(earlier), 1_000);
        Files.write(earlier, torn);

        assertThatThrownBy(() -> load(folder)).isInstanceOf(DamagedLogException.class);
        assertThat(Files.readAllBytes(earlier)).isEqualTo(torn);
    }

    @Test
    void folderOfAnOpenStoreCannotBeOpenedAgain() throws Exception {
        Path folder = tempFolder.resolve("s");
        try (DiskLogStore store = new DiskLogStore(folder)) {
            store.load();
            assertThatThrownBy(() -> load(folder)).isInstanceOf(LogStoreException.class);
        }
    }

    private void crashAtEachStep(String name, StoreWrite write, Consumer<StoredState> check)
            throws Exception {
        int step = 0;
        boolean crashed = true;
        while (crashed) {
            Path folder = tempFolder.resolve(name + " " + step);
            prepare(folder);
            CrashingStepListener listener = new CrashingStepListener(step);
            try (DiskLogStore store = new DiskLogStore(folder, listener)) {
                store.load();
                listener.armed = true;
                write.applyTo(store);
                crashed = false;
            } catch (CrashException e) {
                crashed = true;
            }
            check.accept(load(folder));
            appendAndReload(folder, nextIndex(load(folder)));
            step++;
        }
        assertThat(step).as("steps of %s", name).isGreaterThan(2);
    }

    private void prepare(Path folder) throws Exception {
        try (DiskLogStore store = new DiskLogStore(folder)) {
            store.load();
            store.persist(batch(Optional.empty(), 0, entries(1, 4, 1)));
            store.persist(snapshotBatch(2, false));
        }
    }

    private void writeThreeSegments(Path folder) throws Exception {
        try (DiskLogStore store = new DiskLogStore(folder)) {
            store.load();
            store.persist(batch(Optional.empty(), 0, entryAboveSegmentSize(1)));
            store.persist(batch(Optional.empty(), 0, entryAboveSegmentSize(2)));
            store.persist(batch(Optional.empty(), 0, entryAboveSegmentSize(3)));
        }
    }

    private void appendAndReload(Path folder, long index) throws Exception {
        try (DiskLogStore store = new DiskLogStore(folder)) {
            store.load();
            store.persist(batch(Optional.empty(), 0, entries(index, index, 7)));
        }
        StoredState state = load(folder);
        ReplicationEntry last = state.entries().get(state.entries().size() - 1);
        assertThat(last.index()).isEqualTo(index);
        assertThat(last.term()).isEqualTo(7);
    }

    private static long nextIndex(StoredState state) {
        long snapshotIndex = state.snapshot().map(s -> s.meta().index()).orElse(0L);
        return snapshotIndex + state.entries().size() + 1;
    }

    private static StoredState load(Path folder) throws LogStoreException {
        try (DiskLogStore store = new DiskLogStore(folder)) {
            return store.load();
        }
    }

    private PersistBatch batch(
            Optional<HardState> hardState, long truncateFrom, List<ReplicationEntry> entries) {
        return new PersistBatch(
                ++batchNumber, hardState, Optional.empty(), false, truncateFrom, entries);
    }

    private PersistBatch snapshotBatch(long index, boolean discardLog) {
        return snapshotBatch(index, discardLog, new byte[] {1, 2, 3, 4});
    }

    private PersistBatch snapshotBatch(long index, boolean discardLog, byte[] data) {
        long term = discardLog ? 5 : 1;
        StoredSnapshot snapshot =
                new StoredSnapshot(new SnapshotMeta(index, term, 1, VOTERS), data);
        return new PersistBatch(
                ++batchNumber, Optional.empty(), Optional.of(snapshot), discardLog, 0, List.of());
    }

    private static List<ReplicationEntry> entries(long from, long to, long term) {
        List<ReplicationEntry> entries = new ArrayList<>();
        for (long index = from; index <= to; index++) {
            Optional<ClusterMembership> membership =
                    index == 1 ? Optional.of(VOTERS) : Optional.empty();
            entries.add(new ReplicationEntry(index, term, 1, command(index, term), membership));
        }
        return entries;
    }

    private static List<ReplicationEntry> entryAboveSegmentSize(long index) {
        byte[] command = new byte[9 * 1024 * 1024];
        return List.of(new ReplicationEntry(index, 1, 1, command, Optional.empty()));
    }

    private static byte[] command(long index, long term) {
        return new byte[] {(byte) index, (byte) term, 2, 0x5a};
    }

    private static List<String> indexesAndTerms(StoredState state) {
        return state.entries().stream().map(e -> e.index() + "/" + e.term()).toList();
    }

    private static Path log(Path folder) throws IOException {
        return files(folder).stream()
                .filter(file -> file.getFileName().toString().startsWith("log-"))
                .findFirst()
                .orElseThrow();
    }

    private static List<Path> files(Path folder) throws IOException {
        try (Stream<Path> found = Files.list(folder)) {
            return found.sorted(Comparator.naturalOrder()).toList();
        }
    }

    private Path copy(Path folder, String name) throws IOException {
        Path copy = Files.createDirectory(tempFolder.resolve(name));
        for (Path file : files(folder)) {
            Files.copy(file, copy.resolve(file.getFileName()));
        }
        return copy;
    }

    /** Step listener that throws after a number of steps, once it is armed. */
    private static final class CrashingStepListener implements Consumer<String> {
        private int remaining;
        private boolean armed;

        private CrashingStepListener(int steps) {
            this.remaining = steps;
        }

        @Override
        public void accept(String step) {
            if (armed && remaining-- == 0) {
                throw new CrashException(step);
            }
        }
    }

    /** Write operation during which the store is made to crash. */
    @FunctionalInterface
    private interface StoreWrite {
        void applyTo(DiskLogStore store) throws LogStoreException;
    }

    /** Simulates a crash of the process. */
    private static final class CrashException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        private CrashException(String step) {
            super(step);
        }
    }
}
