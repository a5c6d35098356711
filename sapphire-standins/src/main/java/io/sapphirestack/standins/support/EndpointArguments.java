package io.sapphirestack.standins.support;

import io.sapphirestack.core.membership.EndpointAnnouncement;
import io.sapphirestack.core.time.MillisClock;
import java.util.Arrays;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/**
 * Arguments that all endpoint subcommands share: the listen address and how the endpoint announces
 * itself. Stateless.
 */
public final class EndpointArguments {

    private EndpointArguments() {}

    /**
     * Adds the arguments to a subcommand.
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

    /** Creates the announcements of an endpoint. */
    @FunctionalInterface
    public interface AnnouncementSource {

        /**
         * Creates an announcement of the current state.
         *
         * @param id name of the endpoint
         * @param service name of the service
         * @param availabilityZone availability zone
         * @param sequence sequence number
         * @return the announcement
         */
        EndpointAnnouncement announcement(
                String id, String service, String availabilityZone, long sequence);
    }

    /**
     * Starts announcing the endpoint, unless {@code --entry} is empty.
     *
     * @param arguments parsed arguments
     * @param source creates the announcements
     */
    public static void startAnnouncing(Namespace arguments, AnnouncementSource source) {
        if (arguments.getString("entry").isEmpty()) {
            return;
        }
        String id = arguments.getString("id");
        String service = arguments.getString("service");
        String availabilityZone = arguments.getString("zone");
        new Announcer(
                        instanceSelector(arguments),
                        arguments.getString("key"),
                        sequence -> source.announcement(id, service, availabilityZone, sequence))
                .start(arguments.getLong("announce_ms"));
    }

    /**
     * Creates the selector of the instances to announce to.
     *
     * @param arguments parsed arguments
     * @return selector with the addresses of {@code --entry} as seeds
     */
    public static InstanceSelector instanceSelector(Namespace arguments) {
        return new InstanceSelector(
                splitList(arguments.getString("entry")),
                arguments.getString("zone"),
                arguments.getString("id").hashCode(),
                MillisClock.monotonic());
    }

    /**
     * Splits a list at its commas.
     *
     * @param list items separated by commas
     * @return trimmed items, without empty ones
     */
    public static List<String> splitList(String list) {
        return Arrays.stream(list.split(",")).map(String::trim).filter(s -> !s.isEmpty()).toList();
    }
}
