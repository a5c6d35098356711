package io.sapphirestack.runtime.control;

import io.sapphirestack.core.control.ControlDelta;
import io.sapphirestack.core.control.ControlState;
import io.sapphirestack.core.control.ControlView;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Long polls that wait for a confirmation, a change or their deadline. Used by the voter's thread
 * only.
 */
final class WatchTracker {

    private final ControlState state;
    private final List<Watch> watches = new ArrayList<>();

    WatchTracker(ControlState state) {
        this.state = state;
    }

    Watch add(WatchRequest request, long deadlineMs, CompletableFuture<WatchReply> reply) {
        Watch watch = new Watch(request, deadlineMs, reply);
        watches.add(watch);
        return watch;
    }

    /** Answers every long poll that need not wait any longer. */
    void answerDue(String clusterId, long nowMs) {
        watches.removeIf(
                watch -> {
                    boolean confirmed = watch.isConfirmedAt(state.index());
                    boolean due =
                            nowMs >= watch.deadlineMs
                                    || watch.refused
                                    || confirmed && hasNews(watch);
                    if (due) {
                        watch.reply.complete(reply(watch, clusterId, confirmed));
                    }
                    return due;
                });
    }

    void failAll() {
        watches.forEach(watch -> watch.reply.complete(WatchReply.unconfirmed("")));
        watches.clear();
    }

    private boolean hasNews(Watch watch) {
        return state.view().revision() > watch.request.appliedRevision()
                || !state.view().isLive(watch.request.status().ref());
    }

    private WatchReply reply(Watch watch, String clusterId, boolean confirmed) {
        ControlView view = state.view();
        long applied = watch.request.appliedRevision();
        if (view.revision() < applied) {
            // This voter is behind what the instance has already.
            return WatchReply.unconfirmed(clusterId);
        }
        Optional<ControlDelta> delta = applied == 0 ? Optional.empty() : state.deltaSince(applied);
        boolean changed = view.revision() > applied;
        return new WatchReply(
                clusterId,
                changed && delta.isEmpty() ? Optional.of(view) : Optional.empty(),
                changed ? delta : Optional.empty(),
                view.revision(),
                confirmed,
                confirmed && !view.isLive(watch.request.status().ref()));
    }

    /** One long poll. */
    static final class Watch {
        private final WatchRequest request;
        private final long deadlineMs;
        private final CompletableFuture<WatchReply> reply;
        private long confirmedIndex = Long.MAX_VALUE;
        private boolean refused;

        private Watch(WatchRequest request, long deadlineMs, CompletableFuture<WatchReply> reply) {
            this.request = request;
            this.deadlineMs = deadlineMs;
            this.reply = reply;
        }

        /** The state may be read once it contains the entry. */
        void confirmed(long index) {
            confirmedIndex = index;
        }

        /** There will be no confirmation. */
        void refused() {
            refused = true;
        }

        private boolean isConfirmedAt(long index) {
            return index >= confirmedIndex;
        }
    }
}
