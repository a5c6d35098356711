package io.sapphirestack.cli;

import io.sapphirestack.client.ClientException;

/** One command of the command line. */
@FunctionalInterface
public interface CliCommand {

    /**
     * Runs the command.
     *
     * @param context client, arguments and output
     * @return exit code
     * @throws ClientException if the system refused or did not answer
     * @throws CliException if an argument or a local file is wrong
     */
    ExitCode run(CommandContext context) throws ClientException, CliException;
}
