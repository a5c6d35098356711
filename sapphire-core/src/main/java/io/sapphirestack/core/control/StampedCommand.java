package io.sapphirestack.core.control;

import io.sapphirestack.core.record.RecordSpecResolver;
import java.util.Objects;
import java.util.Optional;

/**
 * Command with the leader's verdict on the content of a record. Voters of different versions know
 * different schemas, so only the leader checks the content and all voters follow its verdict.
 *
 * @param command command
 * @param wrongField first wrong field of a submitted record, or empty if there is none
 */
public record StampedCommand(ControlCommand command, Optional<String> wrongField) {

    /** Checks the components. */
    public StampedCommand {
        Objects.requireNonNull(command, "command");
        Objects.requireNonNull(wrongField, "wrongField");
    }

    /**
     * Checks a command that is about to be appended to the log.
     *
     * @param command command
     * @param resolver knows the schemas of records
     * @return the command with the verdict
     */
    public static StampedCommand stamp(ControlCommand command, RecordSpecResolver resolver) {
        if (command instanceof ControlCommand.PutRecord put) {
            return new StampedCommand(
                    command,
                    resolver.validate(
                            put.key(), put.schemaVersion(), put.minimumReader(), put.body()));
        }
        return new StampedCommand(command, Optional.empty());
    }
}
