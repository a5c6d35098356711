package io.sapphirestack.standins.support;

import io.sapphirestack.core.time.MillisClock;
import java.util.Arrays;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Arguments that every endpoint has: where it listens and how it announces itself. Stateless. */
public final class EntryArguments {

    private EntryArguments() {}

    /**
     * Adds the arguments.
     *
     * @param parser parser of the subcommand
     * @param service default name of the service
     */
    public static void addTo(Subparser parser, String service) {
        parser.addArgument("--listen").setDefault("127.0.0.1:0").help("host:port to serve on");
        parser.addArgument("--id").required(true).help("name of the endpoint");
        parser.addArgument("--service").setDefault(service).help("name of the service");
        parser.addArgument("--zone").setDefault("").help("availability zone");
        parser.addArgument("--entry")
                .setDefault("")
                .help("host:port,... of instances to announce to; empty for none");
        parser.addArgument("--key").setDefault("").help("bearer key of the service");
        parser.addArgument("--announce-ms").type(Long.class).setDefault(1_000L);
    }

    /**
     * Creates the address book of the endpoint.
     *
     * @param arguments parsed arguments
     * @return the book, over the seeds in {@code --entry}
     */
    public static AddressBook addressBook(Namespace arguments) {
        return new AddressBook(
                seeds(arguments.getString("entry")),
                arguments.getString("zone"),
                arguments.getString("id").hashCode(),
                MillisClock.monotonic());
    }

    /**
     * Splits a list of addresses.
     *
     * @param list addresses, separated by commas
     * @return addresses
     */
    public static List<String> seeds(String list) {
        return Arrays.stream(list.split(",")).map(String::trim).filter(s -> !s.isEmpty()).toList();
    }
}
