package io.sapphirestack.cli;

import io.sapphirestack.client.ClientException;

/** Action of one command of the command line. */
@FunctionalInterface
public interface CliCommand {

    /**
     * Runs the command.
     *
     * @param context client, arguments and printer
     * @return exit code
     * @throws ClientException if a request was refused or got no response
     * @throws CliException if an argument or a local file is invalid
     */
    ExitCode run(CommandContext context) throws ClientException, CliException;
}
