package io.sapphirestack.runtime.control;

import io.sapphirestack.core.control.ControlDelta;
import io.sapphirestack.core.control.ControlState;
import io.sapphirestack.core.control.ControlView;
import io.sapphirestack.core.control.RecordContent;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Tracks the long polls that wait for a confirmation of the leadership, a change or their deadline.
 * Not thread-safe; used on the voter thread only.
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

    /**
     * Replies to every long poll whose deadline has passed, whose confirmation was refused, or that
     * is confirmed and has a change to report.
     */
    void completeDue(String clusterId, String leader, long nowMs) {
        watches.removeIf(
                watch -> {
                    boolean confirmed = watch.isConfirmedAt(state.index());
                    boolean due =
                            nowMs >= watch.deadlineMs
                                    || watch.refused
                                    || confirmed && hasChange(watch);
                    if (due) {
                        watch.reply.complete(createReply(watch, clusterId, leader, confirmed));
                    }
                    return due;
                });
    }

    void failAll() {
        watches.forEach(watch -> watch.reply.complete(WatchReply.unconfirmed("")));
        watches.clear();
    }

    private boolean hasChange(Watch watch) {
        return state.view().revision() > watch.request.knownRevision()
                || !state.view().isLive(watch.request.status().ref());
    }

    private WatchReply createReply(
            Watch watch, String clusterId, String leader, boolean confirmed) {
        ControlView view = state.view();
        long appliedRevision = watch.request.appliedRevision();
        if (view.revision() < watch.request.knownRevision()) {
            // The instance has a newer view than this voter.
            return WatchReply.unconfirmed(clusterId);
        }
        Optional<ControlDelta> delta =
                appliedRevision == 0 ? Optional.empty() : state.deltaSince(appliedRevision);
        boolean changed = view.revision() > appliedRevision;
        return new WatchReply(
                clusterId,
                changed && delta.isEmpty()
                        ? Optional.of(watch.fetchesContent() ? detach(view) : view)
                        : Optional.empty(),
                changed ? delta.map(d -> watch.fetchesContent() ? detach(d) : d) : Optional.empty(),
                view.revision(),
                confirmed,
                confirmed && !view.isLive(watch.request.status().ref()),
                leader);
    }

    private static ControlView detach(ControlView view) {
        return view.mapRecords(RecordContent::detach);
    }

    private static ControlDelta detach(ControlDelta delta) {
        return delta.mapRecords(RecordContent::detach);
    }

    /** Long poll that waits for its reply. */
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

        /**
         * Records the confirmation. The state may be read once the entry with this index is
         * applied.
         */
        void onConfirmed(long index) {
            confirmedIndex = index;
        }

        /** Records that the leadership could not be confirmed. */
        void onRefused() {
            refused = true;
        }

        private boolean fetchesContent() {
            return request.fetchesContent();
        }

        private boolean isConfirmedAt(long index) {
            return index >= confirmedIndex;
        }
    }
}
