package io.sapphirestack.core.generation;

import io.sapphirestack.core.id.GenerationId;
import io.sapphirestack.core.id.InstanceId;
import io.sapphirestack.core.id.InstanceRef;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Text form of generation identifiers: {@code g-<owner>-<incarnation>-<sequence>-<random>}. */
public final class GenerationIds {

    // The owner's name may contain hyphens, so the pattern is anchored at the fixed fields.
    private static final Pattern FORMAT =
            Pattern.compile("g-(.+)-([0-9]{1,18})-([0-9]{1,18})-([0-9a-f]{16})");

    private GenerationIds() {}

    /**
     * Creates an identifier.
     *
     * @param owner instance that accepts the generation
     * @param sequence number that the owner uses once per incarnation
     * @param randomBits 64 bits from a secure random source
     * @return the identifier
     * @throws IllegalArgumentException if the owner's name is too long for an identifier
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
     * Reads the accepting instance from an identifier.
     *
     * @param id identifier
     * @return first owner, or empty if the identifier has another format
     */
    public static Optional<InstanceRef> owner(GenerationId id) {
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
