package io.sapphirestack.core.record;

import com.fasterxml.jackson.databind.JsonNode;
import io.sapphirestack.core.record.SpecReader.InvalidFieldException;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Converts configuration records to typed specs and validates submitted records.
 *
 * <p>If the minimum reader version of a record with a newer schema permits it, the known fields are
 * read and the others ignored. If not, the record is unreadable, and the last spec that was read
 * for the same key stays in use. Thread-safe; the last spec of each key is cached with its
 * revision.
 */
public final class RecordSpecResolver {

    /** Reader version of this software: the highest record schema version that it supports. */
    public static final int CURRENT_READER_VERSION = 1;

    /** Maximum size of the body of a record, in characters of its JSON text. */
    public static final int MAX_BODY_CHARS = 256 * 1024;

    private static final int MAX_DURATION_MS = 7 * 24 * 3_600_000;

    private final int readerVersion;
    private final Map<RecordKey, Resolved> cache = new ConcurrentHashMap<>();

    /** Creates a resolver with {@link #CURRENT_READER_VERSION}. */
    public RecordSpecResolver() {
        this(CURRENT_READER_VERSION);
    }

    /**
     * Creates a resolver with a reader version.
     *
     * @param readerVersion highest supported schema version, positive
     * @throws IllegalArgumentException if the reader version is not positive
     */
    public RecordSpecResolver(int readerVersion) {
        if (readerVersion < 1) {
            throw new IllegalArgumentException(
                    "readerVersion must be positive but is " + readerVersion);
        }
        this.readerVersion = readerVersion;
    }

    /**
     * Returns the spec of a {@code service} record.
     *
     * @param record record of that kind
     * @return spec of the record, or the last spec read for its key if the record is unreadable;
     *     empty if there is none
     */
    public Optional<ServiceSpec> service(ConfigRecord record) {
        return resolve(record, "service", ServiceSpec.class);
    }

    /**
     * Returns the spec of an {@code account} record.
     *
     * @param record record of that kind
     * @return spec of the record, or the last spec read for its key if the record is unreadable;
     *     empty if there is none
     */
    public Optional<AccountSpec> account(ConfigRecord record) {
        return resolve(record, "account", AccountSpec.class);
    }

    /**
     * Returns the spec of a {@code model} record.
     *
     * @param record record of that kind
     * @return spec of the record, or the last spec read for its key if the record is unreadable;
     *     empty if there is none
     */
    public Optional<ModelSpec> model(ConfigRecord record) {
        return resolve(record, "model", ModelSpec.class);
    }

    /**
     * Returns the spec of a {@code stop} record.
     *
     * @param record record of that kind
     * @return spec of the record, or the last spec read for its key if the record is unreadable;
     *     empty if there is none
     */
    public Optional<StopSpec> stop(ConfigRecord record) {
        return resolve(record, "stop", StopSpec.class);
    }

    /**
     * Returns the spec of an {@code operator} record.
     *
     * @param record record of that kind
     * @return spec of the record, or the last spec read for its key if the record is unreadable;
     *     empty if there is none
     */
    public Optional<OperatorSpec> operator(ConfigRecord record) {
        return resolve(record, "operator", OperatorSpec.class);
    }

    /**
     * Returns the spec of a {@code weight-store} record.
     *
     * @param record record of that kind
     * @return spec of the record, or the last spec read for its key if the record is unreadable;
     *     empty if there is none
     */
    public Optional<WeightStoreSpec> weightStore(ConfigRecord record) {
        return resolve(record, "weight-store", WeightStoreSpec.class);
    }

    /**
     * Returns the spec of a {@code rollout} record.
     *
     * @param record record of that kind
     * @return spec of the record, or the last spec read for its key if the record is unreadable;
     *     empty if there is none
     */
    public Optional<RolloutSpec> rollout(ConfigRecord record) {
        return resolve(record, RolloutSpec.KIND, RolloutSpec.class);
    }

    /**
     * Returns the keys of the records whose current body this resolver cannot read.
     *
     * @param records records to check
     * @return keys of the unreadable records, sorted
     */
    public List<RecordKey> unreadable(Collection<ConfigRecord> records) {
        return records.stream()
                .filter(record -> !resolveSpec(record).readable())
                .map(ConfigRecord::key)
                .sorted()
                .toList();
    }

    /**
     * Validates a submitted record. The fields of the body are not checked if the minimum reader
     * version is higher than that of this resolver.
     *
     * @param key key of the record
     * @param schemaVersion version of the schema that the body follows
     * @param minimumReader lowest reader version that may interpret the body
     * @param body content
     * @return error message that starts with the name of the first invalid field, or empty if the
     *     record is valid
     */
    public Optional<String> validate(
            RecordKey key, int schemaVersion, int minimumReader, JsonNode body) {
        if (schemaVersion < 1) {
            return Optional.of("schemaVersion must be positive");
        }
        if (minimumReader < 1 || minimumReader > schemaVersion) {
            return Optional.of("minimumReader must be between 1 and schemaVersion");
        }
        if (body == null || !body.isObject()) {
            return Optional.of("body must be a JSON object");
        }
        if (body.toString().length() > MAX_BODY_CHARS) {
            return Optional.of("body must have at most " + MAX_BODY_CHARS + " characters");
        }
        if (minimumReader > readerVersion) {
            return Optional.empty();
        }
        try {
            parse(key, body);
            return Optional.empty();
        } catch (InvalidFieldException e) {
            return Optional.of(e.getMessage());
        }
    }

    private <T> Optional<T> resolve(ConfigRecord record, String kind, Class<T> type) {
        if (!record.key().kind().equals(kind)) {
            throw new IllegalArgumentException(
                    "expected a record of kind " + kind + " but got " + record.key());
        }
        return Optional.ofNullable(resolveSpec(record).spec()).map(type::cast);
    }

    private Resolved resolveSpec(ConfigRecord record) {
        Resolved cached = cache.get(record.key());
        if (cached != null && cached.revision() == record.revision()) {
            return cached;
        }
        Object lastSpec = cached == null ? null : cached.spec();
        Resolved resolved = new Resolved(record.revision(), lastSpec, false);
        if (record.minimumReader() <= readerVersion) {
            try {
                Object spec = parse(record.key(), record.body());
                resolved = new Resolved(record.revision(), spec, true);
            } catch (InvalidFieldException e) {
                // The record follows the schema of another software version. Keep the last spec.
                resolved = new Resolved(record.revision(), lastSpec, false);
            }
        }
        Resolved result = resolved;
        // A caller with an older control view must not replace the spec of a newer revision.
        cache.merge(
                record.key(),
                result,
                (old, next) -> next.revision() >= old.revision() ? next : old);
        return result;
    }

    private static Object parse(RecordKey key, JsonNode body) {
        SpecReader reader = new SpecReader(body, "");
        try {
            return switch (key.kind()) {
                case "service" -> parseService(reader);
                case "account" -> parseAccount(reader);
                case "model" -> parseModel(reader);
                case "stop" -> parseStop(key, reader);
                case "operator" ->
                        new OperatorSpec(reader.keyHash("keyHash"), reader.bool("admin", false));
                case "weight-store" ->
                        new WeightStoreSpec(
                                reader.integer("bytesPerS", null, 1, Long.MAX_VALUE),
                                (int) reader.integer("maxConcurrentLoads", null, 1, 100_000));
                case RolloutSpec.KIND -> parseRollout(reader);
                default -> throw new InvalidFieldException("kind", "is unknown: " + key.kind());
            };
        } catch (InvalidFieldException e) {
            throw e;
        } catch (IllegalArgumentException e) {
            throw new InvalidFieldException("body", "is not valid: " + e.getMessage());
        }
    }

    private static ServiceSpec parseService(SpecReader reader) {
        return new ServiceSpec(
                reader.enumConstant("type", ServiceType.class, null),
                reader.keyHash("endpointKeyHash"),
                reader.bool("fencingChecked", true),
                reader.bool("lookUp", false),
                reader.integer("staleReadLimitMs", 0L, 0, MAX_DURATION_MS),
                reader.integer("readTimeoutMs", 1_000L, 1, MAX_DURATION_MS),
                reader.integer("orderTimeoutMs", 5_000L, 1, MAX_DURATION_MS),
                parseResume(reader.optionalChild("resume")),
                parseObjectives(reader.optionalChild("objectives")));
    }

    private static ResumeSpec parseResume(SpecReader reader) {
        ResumeSpec defaults = ResumeSpec.DEFAULT;
        if (reader == null) {
            return defaults;
        }
        return new ResumeSpec(
                reader.enumConstant("policy", ResumePolicy.class, defaults.policy()),
                reader.integer("silenceMs", defaults.silenceMs(), 200, 600),
                reader.integer("probeTimeoutMs", defaults.probeTimeoutMs(), 50, 300),
                reader.integer(
                        "suspectWaitMs",
                        defaults.suspectWaitMs(),
                        0,
                        ResumeSpec.MAX_SUSPECT_WAIT_MS),
                reader.integer("stallMs", defaults.stallMs(), 1_000, 600_000));
    }

    private static ObjectivesSpec parseObjectives(SpecReader reader) {
        ObjectivesSpec defaults = ObjectivesSpec.DEFAULT;
        if (reader == null) {
            return defaults;
        }
        double target = reader.decimal("target", defaults.target());
        if (!(target > 0 && target < 1)) {
            throw new InvalidFieldException(
                    reader.pathOf("target"), "must be between 0 and 1 but is " + target);
        }
        return new ObjectivesSpec(
                target,
                reader.integer("readLatencyMs", defaults.readLatencyMs(), 1, MAX_DURATION_MS),
                reader.integer("firstTokenMs", defaults.firstTokenMs(), 1, MAX_DURATION_MS),
                reader.integer("betweenTokensMs", defaults.betweenTokensMs(), 1, MAX_DURATION_MS),
                reader.integer("resumeMs", defaults.resumeMs(), 1, MAX_DURATION_MS));
    }

    private static AccountSpec parseAccount(SpecReader reader) {
        double weight = reader.decimal("weight", 1);
        if (!(weight > 0)) {
            throw new InvalidFieldException("weight", "must be positive but is " + weight);
        }
        double maxRequestsPerS = reader.decimal("maxRequestsPerS", 1_000);
        if (maxRequestsPerS < 0) {
            throw new InvalidFieldException("maxRequestsPerS", "must not be negative");
        }
        return new AccountSpec(
                reader.keyHash("keyHash"),
                (int) reader.integer("priority", 5L, 0, 9),
                weight,
                (int) reader.integer("maxConcurrentGenerations", 1_000L, 0, Integer.MAX_VALUE),
                maxRequestsPerS);
    }

    private static RolloutSpec parseRollout(SpecReader reader) {
        double share = reader.decimal("share", 0);
        if (!(share >= 0 && share <= 1)) {
            throw new InvalidFieldException(reader.pathOf("share"), "must be from 0 to 1");
        }
        return new RolloutSpec(
                reader.text("service", null),
                reader.text("version", null),
                reader.integer("periodMs", null, 1, MAX_DURATION_MS),
                reader.integer("startedAtMs", null, 0, Long.MAX_VALUE / 2),
                reader.enumConstant("state", RolloutState.class, null),
                (int) reader.integer("stage", null, 0, 100),
                share,
                reader.integer("changedAtMs", null, 0, Long.MAX_VALUE / 2),
                reader.text("verdict", ""),
                reader.texts("excluded"));
    }

    private static ModelSpec parseModel(SpecReader reader) {
        SpecReader pin = reader.requiredChild("pin");
        return new ModelSpec(
                reader.text("service", null),
                new ModelPin(
                        pin.text("model", null),
                        pin.text("adapter", ""),
                        pin.text("version", null)),
                (int) reader.integer("replicas", 0L, 0, 100_000),
                reader.integer("weightBytes", 0L, 0, Long.MAX_VALUE));
    }

    private static StopSpec parseStop(RecordKey key, SpecReader reader) {
        long maxWaitMs =
                reader.integer("maxWaitMs", StopSpec.DEFAULT_MAX_WAIT_MS, 0, MAX_DURATION_MS);
        for (StopTarget target : StopTarget.values()) {
            String prefix = target.namePrefix();
            if (key.name().toLowerCase(Locale.ROOT).startsWith(prefix)
                    && key.name().length() > prefix.length()) {
                return new StopSpec(target, key.name().substring(prefix.length()), maxWaitMs);
            }
        }
        throw new InvalidFieldException("name", "must be endpoint:ID or instance:ID");
    }

    private record Resolved(long revision, Object spec, boolean readable) {}
}
