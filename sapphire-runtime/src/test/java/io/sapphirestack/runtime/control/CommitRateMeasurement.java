package io.sapphirestack.runtime.control;

import io.sapphirestack.core.control.ControlCommand;
import io.sapphirestack.core.control.ControlResult;
import io.sapphirestack.core.id.AccountId;
import io.sapphirestack.core.id.InstanceId;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.core.id.OrderKey;
import io.sapphirestack.core.record.RecordSpecResolver;
import io.sapphirestack.core.replication.ReplicationSettings;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.storage.DiskLogStore;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Measures the commit rate, disk syncs and latencies of three voters in one process with files on
 * disk, at 1, 100 and 1,500 submitted commands per second. This is a measurement and not a test: it
 * checks no limits.
 */
public final class CommitRateMeasurement {

    private static final List<String> VOTERS = List.of("v1:1", "v2:1", "v3:1");
    private static final int[] RATES = {1, 100, 1_500};
    private static final int SECONDS = 4;

    private CommitRateMeasurement() {}

    /**
     * Runs the measurement.
     *
     * @param args path of the data folder, created if it does not exist
     * @throws Exception if a voter does not start, a command of the setup fails, or a timeout
     *     expires
     */
    public static void main(String[] args) throws Exception {
        Path folder = Files.createTempDirectory(Files.createDirectories(Path.of(args[0])), "rate");
        ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(2);
        List<DiskLogStore> stores = new ArrayList<>();
        List<ControlService> services = new ArrayList<>();
        try (InMemoryPeers peers = new InMemoryPeers()) {
            for (String address : VOTERS) {
                DiskLogStore store = new DiskLogStore(folder.resolve(address.replace(':', '-')));
                ControlService service =
                        new ControlService(
                                ReplicationSettings.withDefaults(address, VOTERS),
                                () -> store,
                                peers.transport(address),
                                peers.registry(address),
                                MillisClock.monotonic(),
                                MillisClock.wall(),
                                new Random(address.hashCode()),
                                new RecordSpecResolver());
                service.start();
                stores.add(store);
                services.add(service);
            }
            DefaultControlClient client =
                    new DefaultControlClient(
                            VOTERS, peers.transport("client"), scheduler, MillisClock.monotonic());
            client.submit(reserve(-1), 10_000).get();
            for (int rate : RATES) {
                measure(rate, client, scheduler, stores);
            }
            for (ControlService service : services) {
                service.stop().get(10, TimeUnit.SECONDS);
            }
        } finally {
            scheduler.shutdownNow();
        }
    }

    private static void measure(
            int rate,
            ControlClient client,
            ScheduledExecutorService scheduler,
            List<DiskLogStore> stores)
            throws Exception {
        int total = rate * SECONDS;
        long[] syncsBefore = stores.stream().mapToLong(DiskLogStore::syncCount).toArray();
        Queue<Long> latenciesUs = new ConcurrentLinkedQueue<>();
        AtomicInteger failures = new AtomicInteger();
        List<CompletableFuture<ControlResult>> futures = new ArrayList<>();
        AtomicInteger sent = new AtomicInteger();
        CompletableFuture<Void> allSent = new CompletableFuture<>();
        long startNs = System.nanoTime();
        scheduler.scheduleAtFixedRate(
                () -> {
                    long due =
                            Math.min(total, (System.nanoTime() - startNs) * rate / 1_000_000_000);
                    while (sent.get() < due) {
                        long sentNs = System.nanoTime();
                        int number = rate * 1_000_000 + sent.getAndIncrement();
                        futures.add(
                                client.submit(reserve(number), 5_000)
                                        .whenComplete(
                                                (result, failure) -> {
                                                    if (failure != null) {
                                                        failures.incrementAndGet();
                                                    }
                                                    latenciesUs.add(
                                                            (System.nanoTime() - sentNs) / 1_000);
                                                }));
                    }
                    if (sent.get() == total) {
                        allSent.complete(null);
                    }
                },
                0,
                1,
                TimeUnit.MILLISECONDS);
        allSent.get(SECONDS + 10, TimeUnit.SECONDS);
        for (CompletableFuture<ControlResult> future : List.copyOf(futures)) {
            future.handle((result, failure) -> null).get(10, TimeUnit.SECONDS);
        }
        double seconds = (System.nanoTime() - startNs) / 1e9;
        List<Long> sorted = latenciesUs.stream().sorted().toList();
        StringBuilder syncs = new StringBuilder();
        for (int i = 0; i < stores.size(); i++) {
            syncs.append(
                    String.format(" %.0f", (stores.get(i).syncCount() - syncsBefore[i]) / seconds));
        }
        System.out.printf(
                "submitted/s %d: commits/s %.0f, failures %d, syncs/s per voter%s, latency ms"
                        + " p50 %.2f p99 %.2f max %.2f%n",
                rate,
                (total - failures.get()) / seconds,
                failures.get(),
                syncs,
                sorted.get(sorted.size() / 2) / 1_000.0,
                sorted.get((int) (sorted.size() * 0.99)) / 1_000.0,
                sorted.get(sorted.size() - 1) / 1_000.0);
    }

    private static ControlCommand reserve(int number) {
        return new ControlCommand.ReserveOrder(
                new OrderKey(AccountId.of("a"), "refill", "k" + number),
                "0123456789abcdef",
                new InstanceRef(InstanceId.of("i1"), 1),
                "n" + number);
    }
}
