package io.sapphirestack.cli;

import io.sapphirestack.client.SapphireClient;
import io.sapphirestack.core.time.MillisClock;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * Objects that a command uses.
 *
 * @param client client of the HTTP interfaces
 * @param arguments parsed arguments, by name
 * @param printer prints results and progress
 * @param clock monotonic clock
 */
public record CommandContext(
        SapphireClient client, Namespace arguments, ResultPrinter printer, MillisClock clock) {

    /**
     * Returns a text argument.
     *
     * @param name name of the argument
     * @return its value, or {@code null} if it is absent and has no default
     */
    public String text(String name) {
        return arguments.getString(name);
    }
}
