package io.sapphirestack.runtime.control;

import io.sapphirestack.core.control.ControlView;
import io.sapphirestack.core.control.RecordContent;
import io.sapphirestack.core.record.ConfigRecord;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Newest view that this instance was told of, while contents of its records are still being
 * fetched. Not thread-safe.
 */
final class PendingView {

    private final ContentFetcher fetcher;
    private final Consumer<ControlView> publisher;
    private Optional<ControlView> pending = Optional.empty();

    /**
     * Creates an empty pending view.
     *
     * @param fetcher fetches contents; used by this object only
     * @param publisher receives each view that is complete
     */
    PendingView(ContentFetcher fetcher, Consumer<ControlView> publisher) {
        this.fetcher = fetcher;
        this.publisher = publisher;
    }

    /** Returns the revision of the pending view, 0 if there is none. */
    long revision() {
        return pending.map(ControlView::revision).orElse(0L);
    }

    /**
     * Publishes a view, or fetches the contents that it lacks first. It replaces a pending one.
     *
     * @param next view whose large contents may be detached
     * @param current view that is published, whose contents are used again
     */
    void offer(ControlView next, ControlView current) {
        ControlView known = pending.orElse(current);
        proceed(
                next.mapRecords(record -> attachFrom(current, record))
                        .mapRecords(record -> attachFrom(known, record)));
    }

    private void proceed(ControlView view) {
        Optional<ConfigRecord> lacking =
                view.records().values().stream()
                        .filter(record -> RecordContent.referenceOf(record).isPresent())
                        .findFirst();
        if (lacking.isEmpty()) {
            pending = Optional.empty();
            fetcher.cancel();
            publisher.accept(view);
            return;
        }
        pending = Optional.of(view);
        fetcher.fetch(
                lacking.get().key(),
                RecordContent.referenceOf(lacking.get()).get(),
                this::onFetched);
    }

    private void onFetched(byte[] content) {
        pending.ifPresent(view -> proceed(view.mapRecords(record -> attach(record, content))));
    }

    private static ConfigRecord attachFrom(ControlView holder, ConfigRecord record) {
        return holder.findRecord(record.key())
                .flatMap(RecordContent::bytesOf)
                .map(content -> attach(record, content))
                .orElse(record);
    }

    private static ConfigRecord attach(ConfigRecord record, byte[] content) {
        return RecordContent.referenceOf(record)
                .filter(reference -> reference.names(content))
                .map(reference -> RecordContent.attach(record, content))
                .orElse(record);
    }
}
