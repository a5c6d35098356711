package io.sapphirestack.cli;

import io.sapphirestack.client.SapphireClient;
import io.sapphirestack.core.time.MillisClock;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * What a command works with.
 *
 * @param client client of the HTTP interfaces
 * @param arguments parsed arguments
 * @param printer where results go
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
