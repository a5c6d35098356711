package io.sapphirestack.runtime.generation;

import io.sapphirestack.core.control.ControlView;
import io.sapphirestack.core.control.InstanceInfo;
import io.sapphirestack.core.generation.GenerationAppend;
import io.sapphirestack.core.generation.GenerationAppendReply;
import io.sapphirestack.core.generation.GenerationOwner;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.runtime.generation.GenerationMessages.AppendBatch;
import io.sapphirestack.runtime.generation.GenerationMessages.AppendBatchReply;
import io.sapphirestack.runtime.generation.GenerationMessages.GenerationOpen;
import io.sapphirestack.runtime.transport.PeerRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Sends the appends of owned generations to their replicas. At most one batch is in flight per
 * peer; the next batch contains all appends that became due in the meantime. Thread-safe; there is
 * no lock that several generations share.
 */
final class GenerationReplicator {

    /** Callbacks for the replies of peers. */
    interface Listener {
        /** Called when the committed offset or the members may have changed. */
        void onProgress(LocalGeneration generation);

        /** Called when a peer knows an owner with a higher epoch. */
        void onStaleEpoch(LocalGeneration generation);
    }

    /**
     * Timeout of one batch. It is shorter than {@link #REPORT_AFTER_MS}, so that a later batch can
     * be acknowledged before the peer is reported.
     */
    private static final long APPEND_TIMEOUT_MS = 500;

    /**
     * Time without an acknowledgement after which a peer is reported; the leader then evicts it.
     */
    private static final long REPORT_AFTER_MS = 1_500;

    private static final long REPORT_INTERVAL_MS = 500;
    private static final int MAX_BATCH_APPENDS = 1_024;
    private static final int MAX_BATCH_BYTES = 1_024 * 1_024;

    private final GenerationContext context;
    private final ConcurrentHashMap<InstanceRef, PeerSender> senders = new ConcurrentHashMap<>();
    private final Listener listener;

    GenerationReplicator(GenerationContext context, Listener listener) {
        this.context = context;
        this.listener = listener;
    }

    /**
     * Sends the outstanding appends of a generation to all its peers.
     *
     * @param generation generation
     * @param sendCommittedOffset whether to send an append even if only the committed offset has
     *     changed
     */
    void replicate(LocalGeneration generation, boolean sendCommittedOffset) {
        List<InstanceRef> peers = generation.withOwner(GenerationOwner::peers).orElse(List.of());
        for (InstanceRef peer : peers) {
            PeerSender sender = senders.computeIfAbsent(peer, PeerSender::new);
            if (generation.markQueued(peer, sendCommittedOffset)) {
                sender.queue.add(generation);
            }
            sender.sendNextBatch();
        }
    }

    /** Reports peers that do not acknowledge, and removes the senders of evicted peers. */
    void checkPeers() {
        long nowMs = context.clock().nowMs();
        ControlView view = context.blackboard().control().read();
        senders.keySet().removeIf(ref -> !view.isLive(ref) && senders.get(ref).queue.isEmpty());
        for (PeerSender sender : senders.values()) {
            long unacknowledgedSinceMs = sender.unacknowledgedSinceMs;
            if (unacknowledgedSinceMs >= 0
                    && nowMs - unacknowledgedSinceMs >= REPORT_AFTER_MS
                    && nowMs - sender.reportedAtMs >= REPORT_INTERVAL_MS
                    && view.isLive(sender.peer)) {
                sender.reportedAtMs = nowMs;
                GenerationEvents.peerNotAcknowledging(sender.peer, nowMs - unacknowledgedSinceMs);
                context.peerFailureReporter().report(sender.peer, nowMs - unacknowledgedSinceMs);
            }
        }
    }

    private Optional<String> address(InstanceRef peer) {
        ControlView view = context.blackboard().control().read();
        return Optional.ofNullable(view.instances().get(peer.id()))
                .filter(info -> info.ref().equals(peer))
                .map(InstanceInfo::peerAddress);
    }

    private void onReply(
            LocalGeneration generation, InstanceRef peer, GenerationAppendReply reply) {
        switch (generation.onReply(peer, reply)) {
            case STEP_DOWN -> listener.onStaleEpoch(generation);
            case COMMITTED, NONE -> {
                listener.onProgress(generation);
                replicate(generation, false);
            }
            default -> throw new IllegalStateException("unknown effect of a reply");
        }
    }

    private static void onNoReply(LocalGeneration generation, InstanceRef peer) {
        generation.withOwner(
                owner -> {
                    owner.onNoReply(peer);
                    return true;
                });
    }

    /** Queue of generations with outstanding appends for one peer. Thread-safe. */
    private final class PeerSender {
        private final InstanceRef peer;
        private final Queue<LocalGeneration> queue = new ConcurrentLinkedQueue<>();
        private final AtomicBoolean batchInFlight = new AtomicBoolean();
        private volatile long unacknowledgedSinceMs = -1;
        private volatile long reportedAtMs = Long.MIN_VALUE / 2;

        private PeerSender(InstanceRef peer) {
            this.peer = peer;
        }

        private void sendNextBatch() {
            while (!queue.isEmpty() && batchInFlight.compareAndSet(false, true)) {
                Optional<String> address = address(peer);
                List<LocalGeneration> batch = new ArrayList<>();
                List<GenerationAppend> items = new ArrayList<>();
                takeBatch(address, batch, items);
                if (!items.isEmpty()) {
                    sendBatch(address.orElseThrow(), batch, items);
                    return;
                }
                batchInFlight.set(false);
            }
        }

        private void takeBatch(
                Optional<String> address,
                List<LocalGeneration> batch,
                List<GenerationAppend> items) {
            int bytes = 0;
            while (items.size() < MAX_BATCH_APPENDS && bytes < MAX_BATCH_BYTES) {
                LocalGeneration generation = queue.poll();
                if (generation == null) {
                    return;
                }
                boolean needsOpen = generation.needsOpen(peer);
                if (needsOpen && !generation.tryBeginOpen(peer)) {
                    // The reply to the open that is in flight triggers the next replication.
                    generation.clearQueued(peer);
                    continue;
                }
                Optional<GenerationAppend> append = generation.takeAppend(peer);
                if (append.isPresent() && address.isEmpty()) {
                    generation.endOpen(peer);
                    onNoReply(generation, peer);
                } else if (needsOpen) {
                    sendOpen(address, generation, append);
                } else if (append.isPresent()) {
                    batch.add(generation);
                    items.add(append.get());
                    for (String token : append.get().tokens()) {
                        bytes += token.length();
                    }
                }
            }
        }

        private void sendOpen(
                Optional<String> address,
                LocalGeneration generation,
                Optional<GenerationAppend> append) {
            if (append.isEmpty()) {
                generation.endOpen(peer);
                return;
            }
            recordSent();
            call(address.orElseThrow(), new GenerationOpen(peer, generation.spec(), append.get()))
                    .whenComplete(
                            (reply, failure) -> {
                                generation.endOpen(peer);
                                if (failure != null) {
                                    onNoReply(generation, peer);
                                } else {
                                    recordReply();
                                    onReply(generation, peer, reply);
                                }
                            });
        }

        private void sendBatch(
                String address, List<LocalGeneration> batch, List<GenerationAppend> items) {
            recordSent();
            call(address, new AppendBatch(peer, items))
                    .whenComplete((reply, failure) -> onBatchReply(batch, reply, failure));
        }

        private void onBatchReply(
                List<LocalGeneration> batch, AppendBatchReply reply, Throwable failure) {
            boolean valid = failure == null && reply.replies().size() == batch.size();
            try {
                for (int i = 0; i < batch.size(); i++) {
                    if (valid) {
                        recordReply();
                        onReply(batch.get(i), peer, reply.replies().get(i));
                    } else {
                        onNoReply(batch.get(i), peer);
                    }
                }
            } finally {
                batchInFlight.set(false);
            }
            if (valid) {
                // After a failure, only the next token or maintenance run resends, which limits the
                // rate of resends.
                sendNextBatch();
            }
        }

        private <R> CompletableFuture<R> call(String address, PeerRequest<R> request) {
            return context.transport().call(address, request, APPEND_TIMEOUT_MS);
        }

        private void recordSent() {
            if (unacknowledgedSinceMs < 0) {
                unacknowledgedSinceMs = context.clock().nowMs();
            }
        }

        private void recordReply() {
            unacknowledgedSinceMs = -1;
        }
    }
}
