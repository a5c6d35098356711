package io.sapphirestack.runtime.storage;

import io.sapphirestack.core.replication.DamagedLogException;
import io.sapphirestack.core.replication.HardState;
import io.sapphirestack.core.replication.LogStore;
import io.sapphirestack.core.replication.LogStoreException;
import io.sapphirestack.core.replication.PersistBatch;
import io.sapphirestack.core.replication.ReplicationEntry;
import io.sapphirestack.core.replication.StoredSnapshot;
import io.sapphirestack.core.replication.StoredState;
import java.io.EOFException;
import java.io.IOException;
import java.io.UTFDataFormatException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.jboss.logging.Logger;

/**
 * Log store of a voter on files of one data folder: {@code hard-state}, {@code snapshot-INDEX} and
 * log segments {@code log-INDEX}, where INDEX is the last entry that the snapshot covers or the
 * first entry of the segment.
 *
 * <p>Loading truncates an incomplete last write, unless a sync marker after it shows that it was
 * durable. Any other corruption fails the load and the files stay as they are. What may not have
 * been synced is written and synced again before the load returns; a disk that refuses writes fails
 * the load. Not thread-safe, except for {@link #syncCount()}.
 */
public final class DiskLogStore implements LogStore {

    private static final Logger LOG = Logger.getLogger(DiskLogStore.class);

    /**
     * Size from which a new segment is started. It limits the entries that stay on disk although a
     * snapshot covers them, and the time to read one file.
     */
    private static final long SEGMENT_BYTES = 8 * 1024 * 1024;

    private static final String HARD_STATE = "hard-state";
    private static final String SNAPSHOT_PREFIX = "snapshot-";
    private static final String LOG_PREFIX = "log-";

    private final Path folder;
    private final DurableFiles files;
    private final Consumer<String> stepDone;
    private final List<LogSegment> segments = new ArrayList<>();
    private final AtomicLong syncCount = new AtomicLong();
    private FileChannel lockChannel;
    private boolean loaded;
    private long snapshotIndex;

    /**
     * Creates a store; {@link #load()} must be called before any other operation.
     *
     * @param folder data folder, created if it does not exist
     */
    public DiskLogStore(Path folder) {
        this(folder, step -> {});
    }

    DiskLogStore(Path folder, Consumer<String> stepDone) {
        this.folder = Objects.requireNonNull(folder, "folder");
        this.stepDone = Objects.requireNonNull(stepDone, "stepDone");
        this.files = new DurableFiles(stepDone);
    }

    /** Returns how often a hard state or appended entries were synced to disk. Thread-safe. */
    public long syncCount() {
        return syncCount.get();
    }

    @Override
    public StoredState load() throws LogStoreException {
        if (loaded) {
            throw new IllegalStateException("the log store is already loaded");
        }
        Path currentPath = folder;
        try {
            Files.createDirectories(folder);
            lockFolder();
            removeTemporaryFiles();
            List<Path> snapshots = listFiles(SNAPSHOT_PREFIX);
            List<Path> logs = listFiles(LOG_PREFIX);
            currentPath = folder.resolve(HARD_STATE);
            HardState hardState = loadHardState(currentPath, snapshots.isEmpty() && logs.isEmpty());
            Optional<StoredSnapshot> snapshot = Optional.empty();
            if (!snapshots.isEmpty()) {
                currentPath = snapshots.get(snapshots.size() - 1);
                snapshot = Optional.of(StorageCodec.decodeSnapshot(files.read(currentPath)));
                snapshotIndex = snapshot.get().meta().index();
            }
            List<ReplicationEntry> entries = new ArrayList<>();
            for (int i = 0; i < logs.size(); i++) {
                currentPath = logs.get(i);
                OptionalLong nextFirstIndex =
                        i == logs.size() - 1
                                ? OptionalLong.empty()
                                : OptionalLong.of(indexOf(logs.get(i + 1), LOG_PREFIX));
                segments.add(openSegment(currentPath, nextFirstIndex, entries));
            }
            currentPath = folder;
            List<ReplicationEntry> remaining = reconcile(snapshot, entries);
            finishLoad(snapshots, hardState);
            loaded = true;
            return new StoredState(hardState, snapshot, remaining);
        } catch (DamagedFileException | EOFException | UTFDataFormatException e) {
            closeQuietly();
            throw new DamagedLogException(
                    "load-storage",
                    currentPath.toString(),
                    "the log store is damaged: " + e.getMessage(),
                    e);
        } catch (IOException e) {
            closeQuietly();
            throw new LogStoreException(
                    "load-storage",
                    currentPath.toString(),
                    "cannot load the log store: " + e.getMessage(),
                    e);
        }
    }

    @Override
    public void persist(PersistBatch batch) throws LogStoreException {
        if (!loaded) {
            throw new IllegalStateException("the log store is not loaded");
        }
        try {
            if (batch.hardState().isPresent()) {
                files.replace(
                        folder.resolve(HARD_STATE), StorageCodec.encode(batch.hardState().get()));
                syncCount.incrementAndGet();
            }
            if (batch.snapshot().isPresent()) {
                writeSnapshot(batch.snapshot().get(), batch.discardLog());
            }
            if (batch.truncateFrom() != 0) {
                truncateFrom(batch.truncateFrom());
            }
            appendEntries(batch.entries());
        } catch (IOException e) {
            throw new LogStoreException(
                    "persist",
                    folder.toString(),
                    "cannot write to the log store: " + e.getMessage(),
                    e);
        }
    }

    @Override
    public void close() throws LogStoreException {
        List<AutoCloseable> open = new ArrayList<>(segments);
        if (lockChannel != null) {
            open.add(lockChannel);
        }
        Optional<Exception> failure = Optional.empty();
        for (AutoCloseable closeable : open) {
            try {
                closeable.close();
            } catch (Exception e) {
                // The others must be closed as well: a lock that is kept would fail the next load.
                failure = Optional.of(e);
            }
        }
        if (failure.isPresent()) {
            throw new LogStoreException(
                    "close-storage",
                    folder.toString(),
                    "cannot close the log store: " + failure.get().getMessage(),
                    failure.get());
        }
    }

    private void lockFolder() throws IOException {
        lockChannel =
                FileChannel.open(
                        folder.resolve("lock"),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE);
        try {
            FileLock lock = lockChannel.tryLock();
            if (lock == null) {
                throw new IOException("the data folder is locked by another process");
            }
        } catch (OverlappingFileLockException e) {
            throw new IOException("the data folder is already in use by this process", e);
        }
    }

    private HardState loadHardState(Path file, boolean folderIsEmpty) throws IOException {
        if (Files.exists(file)) {
            return StorageCodec.decodeHardState(files.read(file));
        }
        if (!folderIsEmpty) {
            throw new DamagedFileException(
                    "the hard state file is missing, but there is a log or a snapshot");
        }
        // A voter whose data folder was lost gets a new identity. Under its old identity it could
        // vote a second time in a term, because it has forgotten its earlier vote.
        HardState created = new HardState(UUID.randomUUID().toString(), "", 0, "");
        files.replace(file, StorageCodec.encode(created));
        LOG.infof(
                "SAP1001 created the voter identity %s in the data folder %s",
                created.voterId(), folder);
        return created;
    }

    private static LogSegment openSegment(
            Path file, OptionalLong nextFirstIndex, List<ReplicationEntry> entries)
            throws IOException {
        long firstIndex = indexOf(file, LOG_PREFIX);
        if (!entries.isEmpty() && entries.get(entries.size() - 1).index() + 1 != firstIndex) {
            throw new DamagedFileException(
                    "the log has a gap after entry " + entries.get(entries.size() - 1).index());
        }
        return LogSegment.open(file, firstIndex, nextFirstIndex, entries);
    }

    /**
     * Returns the entries that follow the snapshot. Removes the log if it conflicts with the
     * snapshot or ends before it.
     */
    private List<ReplicationEntry> reconcile(
            Optional<StoredSnapshot> snapshot, List<ReplicationEntry> entries) throws IOException {
        long termAtSnapshot = snapshot.map(value -> value.meta().term()).orElse(0L);
        boolean termConflicts =
                entries.stream()
                        .anyMatch(
                                entry ->
                                        entry.index() == snapshotIndex
                                                && entry.term() != termAtSnapshot);
        boolean endsBeforeSnapshot =
                !entries.isEmpty() && entries.get(entries.size() - 1).index() < snapshotIndex;
        if (termConflicts || endsBeforeSnapshot) {
            // The process stopped while it replaced the log by a snapshot from the leader.
            deleteSegmentsFrom(0);
            return List.of();
        }
        List<ReplicationEntry> remaining =
                entries.stream().filter(entry -> entry.index() > snapshotIndex).toList();
        if (!remaining.isEmpty() && remaining.get(0).index() != snapshotIndex + 1) {
            throw new DamagedFileException(
                    "entries "
                            + (snapshotIndex + 1)
                            + " to "
                            + (remaining.get(0).index() - 1)
                            + " are missing");
        }
        return remaining;
    }

    /**
     * Makes the loaded state durable. The previous run may have ended at a failed sync, after which
     * the pages of a file can be clean although they are not on the disk. Writing the bytes again
     * lets the next sync write them, too.
     */
    private void finishLoad(List<Path> snapshots, HardState hardState) throws IOException {
        // Also syncs the folder, and so the names of a snapshot and of a segment.
        files.replace(folder.resolve(HARD_STATE), StorageCodec.encode(hardState));
        for (int i = 0; i < snapshots.size() - 1; i++) {
            files.delete(snapshots.get(i));
        }
        if (!segments.isEmpty()) {
            LogSegment last = segments.get(segments.size() - 1);
            last.rewriteUnmarkedTail();
            last.sync();
            last.writeMarker();
        }
    }

    private void writeSnapshot(StoredSnapshot snapshot, boolean discardLog) throws IOException {
        long previousIndex = snapshotIndex;
        files.replace(snapshotFile(snapshot.meta().index()), StorageCodec.encode(snapshot));
        snapshotIndex = snapshot.meta().index();
        if (previousIndex != 0 && previousIndex != snapshotIndex) {
            files.delete(snapshotFile(previousIndex));
        }
        if (discardLog) {
            deleteSegmentsFrom(0);
            return;
        }
        while (segments.size() > 1 && segments.get(0).lastIndex() <= snapshotIndex) {
            LogSegment covered = segments.remove(0);
            covered.close();
            files.delete(covered.file());
        }
    }

    private void truncateFrom(long index) throws IOException {
        int keepCount = segments.size();
        while (keepCount > 0 && segments.get(keepCount - 1).firstIndex() >= index) {
            keepCount--;
        }
        deleteSegmentsFrom(keepCount);
        if (keepCount > 0 && segments.get(keepCount - 1).lastIndex() >= index) {
            segments.get(keepCount - 1).truncateFrom(index);
            stepDone.accept("log truncated");
            segments.get(keepCount - 1).sync();
            segments.get(keepCount - 1).writeMarker();
        }
    }

    /** Deletes segments from the end, so that a crash in between leaves no gap in the log. */
    private void deleteSegmentsFrom(int keepCount) throws IOException {
        for (int i = segments.size() - 1; i >= keepCount; i--) {
            LogSegment removed = segments.remove(i);
            removed.close();
            files.delete(removed.file());
        }
    }

    private void appendEntries(List<ReplicationEntry> entries) throws IOException {
        if (entries.isEmpty()) {
            return;
        }
        if (segments.isEmpty() || segments.get(segments.size() - 1).sizeBytes() >= SEGMENT_BYTES) {
            long firstIndex = entries.get(0).index();
            segments.add(LogSegment.create(logFile(firstIndex), firstIndex));
            stepDone.accept("segment created");
        }
        LogSegment last = segments.get(segments.size() - 1);
        last.append(entries);
        stepDone.accept("entries written");
        last.sync();
        syncCount.incrementAndGet();
        stepDone.accept("entries synced");
        last.writeMarker();
    }

    private void removeTemporaryFiles() throws IOException {
        for (Path file : listFiles("")) {
            if (file.getFileName().toString().endsWith(".tmp")) {
                Files.delete(file);
            }
        }
    }

    private List<Path> listFiles(String prefix) throws IOException {
        try (Stream<Path> found = Files.list(folder)) {
            return found.filter(file -> file.getFileName().toString().startsWith(prefix))
                    .sorted(Comparator.comparing(file -> file.getFileName().toString()))
                    .toList();
        }
    }

    private Path snapshotFile(long index) {
        return folder.resolve(SNAPSHOT_PREFIX + String.format("%019d", index));
    }

    private Path logFile(long index) {
        return folder.resolve(LOG_PREFIX + String.format("%019d", index));
    }

    private static long indexOf(Path file, String prefix) throws IOException {
        try {
            return Long.parseLong(file.getFileName().toString().substring(prefix.length()));
        } catch (NumberFormatException e) {
            throw new DamagedFileException("the file name does not end in a log index", e);
        }
    }

    private void closeQuietly() {
        try {
            close();
        } catch (LogStoreException e) {
            LOG.debug("cannot close the log store after a failed load", e);
        }
    }
}
