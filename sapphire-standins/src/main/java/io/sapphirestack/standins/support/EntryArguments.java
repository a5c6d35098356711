package io.sapphirestack.standins.support;

import io.sapphirestack.core.membership.EndpointAnnouncement;
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

    /** Makes the announcement of an endpoint. */
    @FunctionalInterface
    public interface AnnouncementSource {

        /**
         * Makes an announcement.
         *
         * @param id name of the endpoint
         * @param service name of the service
         * @param zone availability zone
         * @param sequence sequence number
         * @return the announcement
         */
        EndpointAnnouncement announcement(String id, String service, String zone, long sequence);
    }

    /**
     * Starts to announce the endpoint if the arguments name instances.
     *
     * @param arguments parsed arguments
     * @param source makes the announcements
     */
    public static void announce(Namespace arguments, AnnouncementSource source) {
        if (arguments.getString("entry").isEmpty()) {
            return;
        }
        String id = arguments.getString("id");
        String service = arguments.getString("service");
        String zone = arguments.getString("zone");
        new Announcer(
                        addressBook(arguments),
                        arguments.getString("key"),
                        sequence -> source.announcement(id, service, zone, sequence))
                .start(arguments.getLong("announce_ms"));
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
