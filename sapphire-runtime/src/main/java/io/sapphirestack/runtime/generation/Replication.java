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
 * Sends appends of owned generations to their replicas. One batch is in flight per peer; the next
 * one carries everything that came meanwhile. Thread-safe, without a lock across generations.
 */
final class Replication {

    /** Reactions to replies. */
    interface Listener {
        /** The committed offset or the members may have changed. */
        void onProgress(HeldGeneration held);

        /** A later owner exists. */
        void onStaleEpoch(HeldGeneration held);
    }

    /** Timeout of one batch; the next one may still be acknowledged before the peer is reported. */
    private static final long APPEND_TIMEOUT_MS = 500;

    /** Silence after which a peer is reported; the leader then evicts it. */
    private static final long REPORT_AFTER_MS = 1_500;

    private static final long REPORT_AGAIN_MS = 500;
    private static final int MAX_ITEMS = 1_024;
    private static final int MAX_BATCH_BYTES = 1_024 * 1_024;

    private final GenerationContext context;
    private final ConcurrentHashMap<InstanceRef, Link> links = new ConcurrentHashMap<>();
    private final Listener listener;

    Replication(GenerationContext context, Listener listener) {
        this.context = context;
        this.listener = listener;
    }

    /**
     * Sends to all peers of a generation what they need.
     *
     * @param held generation
     * @param tellCommitted whether a risen committed offset alone is worth an append
     */
    void replicate(HeldGeneration held, boolean tellCommitted) {
        List<InstanceRef> peers = held.withOwner(GenerationOwner::peers).orElse(List.of());
        for (InstanceRef peer : peers) {
            Link link = links.computeIfAbsent(peer, Link::new);
            if (held.markQueued(peer, tellCommitted)) {
                link.queue.add(held);
            }
            link.pump();
        }
    }

    /** Reports peers that do not acknowledge, and forgets links to peers that are gone. */
    void checkPeers() {
        long now = context.clock().nowMs();
        ControlView view = context.blackboard().control().read();
        links.keySet().removeIf(ref -> !view.isLive(ref) && links.get(ref).queue.isEmpty());
        for (Link link : links.values()) {
            long since = link.unansweredSinceMs;
            if (since >= 0
                    && now - since >= REPORT_AFTER_MS
                    && now - link.reportedAtMs >= REPORT_AGAIN_MS
                    && view.isLive(link.peer)) {
                link.reportedAtMs = now;
                GenerationEvents.peerSilent(link.peer, now - since);
                context.reporter().report(link.peer, now - since);
            }
        }
    }

    private Optional<String> address(InstanceRef peer) {
        ControlView view = context.blackboard().control().read();
        return Optional.ofNullable(view.instances().get(peer.id()))
                .filter(info -> info.ref().equals(peer))
                .map(InstanceInfo::peerAddress);
    }

    private void onReply(HeldGeneration held, InstanceRef peer, GenerationAppendReply reply) {
        switch (held.onReply(peer, reply)) {
            case STEP_DOWN -> listener.onStaleEpoch(held);
            case COMMITTED, NONE -> {
                listener.onProgress(held);
                replicate(held, false);
            }
            default -> throw new IllegalStateException("unknown effect");
        }
    }

    private static void onNoReply(HeldGeneration held, InstanceRef peer) {
        held.withOwner(
                owner -> {
                    owner.onNoReply(peer);
                    return true;
                });
    }

    private final class Link {
        private final InstanceRef peer;
        private final Queue<HeldGeneration> queue = new ConcurrentLinkedQueue<>();
        private final AtomicBoolean busy = new AtomicBoolean();
        private volatile long unansweredSinceMs = -1;
        private volatile long reportedAtMs = Long.MIN_VALUE / 2;

        private Link(InstanceRef peer) {
            this.peer = peer;
        }

        private void pump() {
            while (!queue.isEmpty() && busy.compareAndSet(false, true)) {
                Optional<String> address = address(peer);
                List<HeldGeneration> batch = new ArrayList<>();
                List<GenerationAppend> items = new ArrayList<>();
                drain(address, batch, items);
                if (!items.isEmpty()) {
                    send(address.orElseThrow(), batch, items);
                    return;
                }
                busy.set(false);
            }
        }

        private void drain(
                Optional<String> address,
                List<HeldGeneration> batch,
                List<GenerationAppend> items) {
            int bytes = 0;
            while (items.size() < MAX_ITEMS && bytes < MAX_BATCH_BYTES) {
                HeldGeneration held = queue.poll();
                if (held == null) {
                    return;
                }
                boolean open = held.needsOpen(peer);
                if (open && !held.beginOpening(peer)) {
                    // The open in flight replicates again when it is answered.
                    held.clearMark(peer);
                    continue;
                }
                Optional<GenerationAppend> append = held.takeAppend(peer);
                if (append.isPresent() && address.isEmpty()) {
                    held.endOpening(peer);
                    onNoReply(held, peer);
                } else if (open) {
                    open(address, held, append);
                } else if (append.isPresent()) {
                    batch.add(held);
                    items.add(append.get());
                    for (String token : append.get().tokens()) {
                        bytes += token.length();
                    }
                }
            }
        }

        private void open(
                Optional<String> address, HeldGeneration held, Optional<GenerationAppend> append) {
            if (append.isEmpty()) {
                held.endOpening(peer);
                return;
            }
            sent();
            call(address.orElseThrow(), new GenerationOpen(peer, held.spec(), append.get()))
                    .whenComplete(
                            (reply, failure) -> {
                                held.endOpening(peer);
                                if (failure != null) {
                                    onNoReply(held, peer);
                                } else {
                                    answered();
                                    onReply(held, peer, reply);
                                }
                            });
        }

        private void send(
                String address, List<HeldGeneration> batch, List<GenerationAppend> items) {
            sent();
            call(address, new AppendBatch(peer, items))
                    .whenComplete((reply, failure) -> received(batch, reply, failure));
        }

        private void received(
                List<HeldGeneration> batch, AppendBatchReply reply, Throwable failure) {
            boolean valid = failure == null && reply.replies().size() == batch.size();
            try {
                for (int i = 0; i < batch.size(); i++) {
                    if (valid) {
                        answered();
                        onReply(batch.get(i), peer, reply.replies().get(i));
                    } else {
                        onNoReply(batch.get(i), peer);
                    }
                }
            } finally {
                busy.set(false);
            }
            if (valid) {
                // After a failure the next token or tick sends again, which bounds the retries.
                pump();
            }
        }

        private <R> CompletableFuture<R> call(String address, PeerRequest<R> request) {
            return context.transport().call(address, request, APPEND_TIMEOUT_MS);
        }

        private void sent() {
            if (unansweredSinceMs < 0) {
                unansweredSinceMs = context.clock().nowMs();
            }
        }

        private void answered() {
            unansweredSinceMs = -1;
        }
    }
}
