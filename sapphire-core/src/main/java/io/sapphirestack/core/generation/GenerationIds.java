package io.sapphirestack.core.generation;

import io.sapphirestack.core.id.GenerationId;
import io.sapphirestack.core.id.InstanceId;
import io.sapphirestack.core.id.InstanceRef;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Text form of generation identifiers: {@code g-<owner>-<incarnation>-<sequence>-<random>}. */
public final class GenerationIds {

    // The instance identifier may contain hyphens; the fields after it have fixed formats.
    private static final Pattern FORMAT =
            Pattern.compile("g-(.+)-([0-9]{1,18})-([0-9]{1,18})-([0-9a-f]{16})");

    private GenerationIds() {}

    /**
     * Creates an identifier.
     *
     * @param owner instance that accepts the generation
     * @param sequence number that is unique within the incarnation of the owner
     * @param randomBits 64 bits from a secure random source
     * @return the identifier
     * @throws IllegalArgumentException if the resulting text is too long for an identifier
     */
    public static GenerationId create(InstanceRef owner, long sequence, long randomBits) {
        return GenerationId.of(
                "g-"
                        + owner.id()
                        + "-"
                        + owner.incarnation()
                        + "-"
                        + sequence
                        + "-"
                        + String.format("%016x", randomBits));
    }

    /**
     * Extracts the accepting instance from an identifier.
     *
     * @param id identifier
     * @return accepting instance, which is the first owner, or empty if the identifier has another
     *     format
     */
    public static Optional<InstanceRef> acceptingInstance(GenerationId id) {
        Matcher matcher = FORMAT.matcher(id.value());
        if (!matcher.matches()) {
            return Optional.empty();
        }
        long incarnation = Long.parseLong(matcher.group(2));
        return incarnation < 1
                ? Optional.empty()
                : Optional.of(new InstanceRef(InstanceId.of(matcher.group(1)), incarnation));
    }
}
