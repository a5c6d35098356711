package io.sapphirestack.runtime.control;

import io.sapphirestack.core.control.ControlView;
import io.sapphirestack.core.control.RecordContent;
import io.sapphirestack.core.record.ConfigRecord;
import io.sapphirestack.runtime.transport.PeerHandlerRegistry;
import java.util.Arrays;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * Sends the contents that this instance holds, in its applied view or as a voter, to other
 * instances. Thread-safe; keeps no state, so an instance that asks again gets the part that it
 * lacks.
 */
public final class ContentServer {

    private final Supplier<ControlView> applied;
    private final Optional<ControlService> voter;

    /**
     * Creates a server; {@link #register} lets it serve.
     *
     * @param applied returns the view that this instance has applied
     * @param voter voter in this process, empty if there is none
     */
    public ContentServer(Supplier<ControlView> applied, Optional<ControlService> voter) {
        this.applied = Objects.requireNonNull(applied, "applied");
        this.voter = Objects.requireNonNull(voter, "voter");
    }

    /**
     * Registers the message handler.
     *
     * @param registry registry of this instance
     */
    public void register(PeerHandlerRegistry registry) {
        registry.register(FetchContentRequest.class, this::onFetch);
    }

    private CompletableFuture<FetchContentRequest.Part> onFetch(FetchContentRequest request) {
        Optional<FetchContentRequest.Part> held =
                applied.get().findRecord(request.key()).flatMap(r -> partOf(r, request));
        if (held.isPresent() || voter.isEmpty()) {
            return CompletableFuture.completedFuture(
                    held.orElse(FetchContentRequest.Part.NOT_HELD));
        }
        return voter.get()
                .findApplied(request.key())
                .thenApply(
                        record ->
                                record.flatMap(r -> partOf(r, request))
                                        .orElse(FetchContentRequest.Part.NOT_HELD));
    }

    private static Optional<FetchContentRequest.Part> partOf(
            ConfigRecord record, FetchContentRequest request) {
        return RecordContent.bytesOf(record)
                .filter(request.reference()::names)
                .map(
                        content -> {
                            int from = Math.max(0, Math.min(request.offset(), content.length));
                            int to =
                                    Math.min(
                                            content.length,
                                            from + FetchContentRequest.MAX_PART_BYTES);
                            return new FetchContentRequest.Part(
                                    true, Arrays.copyOfRange(content, from, to));
                        });
    }
}
