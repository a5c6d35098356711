package io.sapphirestack.core.control;

import io.sapphirestack.core.record.RecordSpecResolver;
import java.util.Objects;
import java.util.Optional;

/**
 * Command with the leader's validation of the content of a record. Voters that run different
 * software versions know different schemas. Therefore only the leader validates the content, and
 * all voters use its result.
 *
 * @param command command
 * @param wrongField description of the first invalid field of a submitted record, or empty if the
 *     content is valid or the command submits no record
 */
public record ValidatedCommand(ControlCommand command, Optional<String> wrongField) {

    /** Validates the components. */
    public ValidatedCommand {
        Objects.requireNonNull(command, "command");
        Objects.requireNonNull(wrongField, "wrongField");
    }

    /**
     * Validates a command before it is appended to the log.
     *
     * @param command command
     * @param resolver resolver that knows the record schemas
     * @return the command with the validation result
     */
    public static ValidatedCommand validate(ControlCommand command, RecordSpecResolver resolver) {
        if (command instanceof ControlCommand.PutRecord put) {
            return new ValidatedCommand(
                    command,
                    resolver.validate(
                            put.key(), put.schemaVersion(), put.minimumReader(), put.body()));
        }
        return new ValidatedCommand(command, Optional.empty());
    }
}
