package io.sapphirestack.runtime.control;

import io.sapphirestack.core.control.RecordContent;
import io.sapphirestack.core.record.RecordKey;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.core.time.TransferTime;
import io.sapphirestack.runtime.metrics.EventLog;
import io.sapphirestack.runtime.transport.PeerTransport;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Queue;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Fetches one content at a time from other instances, in parts. A part that was received is kept
 * when the next one fails, and the next one is asked of another instance.
 *
 * <p>Transfers yield to other traffic: one part is outstanding at a time, and the next one is asked
 * for after a pause as long as the last one took. On a link that is full, parts take longer, and so
 * do the pauses. Not thread-safe; runs on the thread of its scheduler.
 */
final class ContentFetcher {

    private static final EventLog LOG = EventLog.of(ContentFetcher.class);

    /** Timeout of a part without its transfer, in milliseconds. */
    private static final long PART_TIMEOUT_MS = 400;

    private static final long MAX_PAUSE_MS = 200;

    /** Pause before all instances are asked once more, in milliseconds. */
    private static final long RETRY_DELAY_MS = 50;

    private final PeerTransport transport;
    private final Supplier<List<String>> holders;
    private final Scheduler scheduler;
    private final MillisClock clock;
    private Optional<Transfer> current = Optional.empty();

    /** Runs tasks on the thread of the fetcher. */
    @FunctionalInterface
    interface Scheduler {

        /**
         * Runs a task after a delay.
         *
         * @param task task
         * @param delayMs delay in milliseconds, not negative
         */
        void schedule(Runnable task, long delayMs);
    }

    /**
     * Creates a fetcher.
     *
     * @param transport sends the requests
     * @param holders returns the addresses that may hold a content, in the order to ask them
     * @param scheduler runs the steps of the fetcher
     * @param clock monotonic clock
     */
    ContentFetcher(
            PeerTransport transport,
            Supplier<List<String>> holders,
            Scheduler scheduler,
            MillisClock clock) {
        this.transport = Objects.requireNonNull(transport, "transport");
        this.holders = Objects.requireNonNull(holders, "holders");
        this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Fetches a content until it is there or another one is wanted. A transfer of the same content
     * goes on; one of another content has been superseded and ends.
     *
     * @param key key of the record
     * @param wanted content
     * @param onFetched receives the bytes that the reference names
     */
    void fetch(RecordKey key, RecordContent.Reference wanted, Consumer<byte[]> onFetched) {
        if (current.isPresent() && current.get().wanted.equals(wanted)) {
            return;
        }
        Transfer transfer = new Transfer(key, wanted, onFetched);
        current = Optional.of(transfer);
        transfer.requestPart();
    }

    /** Ends the transfer in progress, if any; its content is not needed any more. */
    void cancel() {
        current = Optional.empty();
    }

    /** Transfer of one content. */
    private final class Transfer {

        private final RecordKey key;
        private final RecordContent.Reference wanted;
        private final Consumer<byte[]> onFetched;
        private final long startedMs = clock.nowMs();
        private final byte[] content;
        private final Queue<String> addresses = new ArrayDeque<>();
        private int receivedBytes;
        private int parts;
        private int failures;

        private Transfer(
                RecordKey key, RecordContent.Reference wanted, Consumer<byte[]> onFetched) {
            this.key = key;
            this.wanted = wanted;
            this.onFetched = onFetched;
            this.content = new byte[wanted.sizeBytes()];
        }

        private boolean isCurrent() {
            return current.isPresent() && current.get() == this;
        }

        private void requestPart() {
            if (!isCurrent()) {
                return;
            }
            if (addresses.isEmpty()) {
                addresses.addAll(holders.get());
            }
            String address = addresses.peek();
            if (address == null) {
                scheduler.schedule(this::requestPart, RETRY_DELAY_MS);
                return;
            }
            long sentMs = clock.nowMs();
            transport
                    .call(
                            address,
                            new FetchContentRequest(key, wanted, receivedBytes),
                            PART_TIMEOUT_MS
                                    + TransferTime.maxMs(FetchContentRequest.MAX_PART_BYTES))
                    .whenComplete(
                            (part, failure) ->
                                    scheduler.schedule(
                                            () -> onPart(part, clock.nowMs() - sentMs), 0));
        }

        private void onPart(FetchContentRequest.Part part, long durationMs) {
            if (!isCurrent()) {
                return;
            }
            if (part == null || !accept(part)) {
                failures++;
                addresses.poll();
                scheduler.schedule(this::requestPart, addresses.isEmpty() ? RETRY_DELAY_MS : 0);
            } else if (receivedBytes < content.length) {
                scheduler.schedule(this::requestPart, Math.min(durationMs, MAX_PAUSE_MS));
            } else {
                complete();
            }
        }

        private boolean accept(FetchContentRequest.Part part) {
            int length = part.bytes().length;
            if (!part.held() || length == 0 || length > content.length - receivedBytes) {
                return false;
            }
            System.arraycopy(part.bytes(), 0, content, receivedBytes, length);
            receivedBytes += length;
            parts++;
            return true;
        }

        private void complete() {
            if (!wanted.names(content)) {
                LOG.warn("SAP1016", "A content that was fetched is damaged", "record", key);
                receivedBytes = 0;
                addresses.poll();
                scheduler.schedule(this::requestPart, RETRY_DELAY_MS);
                return;
            }
            current = Optional.empty();
            LOG.info(
                    "SAP1015",
                    "The content of a record was fetched",
                    "record",
                    key,
                    "bytes",
                    content.length,
                    "parts",
                    parts,
                    "failures",
                    failures,
                    "durationMs",
                    clock.nowMs() - startedMs);
            onFetched.accept(content);
        }
    }
}
