package io.sapphirestack.runtime.http;

import io.sapphirestack.core.control.ControlView;
import io.sapphirestack.core.record.ConfigRecord;
import io.sapphirestack.core.trust.KeyHash;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Finds the record whose key hash matches a bearer key. Results are cached by the digest of the
 * key. The cache is discarded when a record of the kind changes, so a changed or removed key is
 * rejected from the next control view on. Thread-safe; the lookup of a cached key takes no lock.
 */
final class BearerKeyIndex {

    // Unknown keys are cached as well, so the cache needs a bound against callers that send many
    // invalid keys.
    private static final int MAX_CACHED_KEYS = 8_192;

    private final String kind;
    private final Function<ConfigRecord, Optional<String>> keyHashOf;
    private volatile Snapshot snapshot =
            new Snapshot(ControlView.EMPTY, List.of(), new ConcurrentHashMap<>());

    private record Candidate(ConfigRecord record, String keyHash) {}

    private record Snapshot(
            ControlView view,
            List<Candidate> candidates,
            Map<ByteBuffer, Optional<ConfigRecord>> results) {

        boolean hasCandidates(List<Candidate> otherCandidates) {
            return candidates.equals(otherCandidates);
        }
    }

    BearerKeyIndex(String kind, Function<ConfigRecord, Optional<String>> keyHashOf) {
        this.kind = kind;
        this.keyHashOf = keyHashOf;
    }

    Optional<ConfigRecord> findRecord(ControlView view, String key) {
        Snapshot current = snapshot;
        if (current.view() != view) {
            current = rebuild(current, view);
            snapshot = current;
        }
        ByteBuffer digest = digest(key);
        Optional<ConfigRecord> cached = current.results().get(digest);
        if (cached != null) {
            return cached;
        }
        Optional<ConfigRecord> found =
                current.candidates().stream()
                        .filter(candidate -> KeyHash.matches(candidate.keyHash(), key))
                        .map(Candidate::record)
                        .findFirst();
        if (current.results().size() >= MAX_CACHED_KEYS) {
            current.results().clear();
        }
        current.results().put(digest, found);
        return found;
    }

    private Snapshot rebuild(Snapshot previous, ControlView view) {
        List<Candidate> candidates =
                view.records().values().stream()
                        .filter(record -> record.key().kind().equals(kind))
                        .sorted((a, b) -> a.key().compareTo(b.key()))
                        .flatMap(
                                record ->
                                        keyHashOf.apply(record).stream()
                                                .map(hash -> new Candidate(record, hash)))
                        .collect(Collectors.toUnmodifiableList());
        return previous.hasCandidates(candidates)
                ? new Snapshot(view, previous.candidates(), previous.results())
                : new Snapshot(view, candidates, new ConcurrentHashMap<>());
    }

    private static ByteBuffer digest(String key) {
        try {
            return ByteBuffer.wrap(
                    MessageDigest.getInstance("SHA-256")
                            .digest(key.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(
                    "SHA-256 is required of every Java platform but not available", e);
        }
    }
}
