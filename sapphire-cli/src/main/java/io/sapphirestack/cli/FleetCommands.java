package io.sapphirestack.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sapphirestack.client.ClientException;
import io.sapphirestack.client.ClientRequest;
import io.sapphirestack.core.trust.KeyHash;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Commands on the fleet: status, planned stops, waiting for a revision, key hashes. */
final class FleetCommands {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long POLL_MS = 500;
    private static final int SALT_BYTES = 16;

    private FleetCommands() {}

    static void register(Subparsers parent) {
        command(
                parent,
                "status",
                "show instances, endpoints and planned stops",
                FleetCommands::status);
        command(parent, "addresses", "show the addresses for callers", FleetCommands::addresses);
        Subparser wait =
                command(
                        parent,
                        "wait",
                        "wait until a revision is in force everywhere",
                        FleetCommands::waitFor);
        wait.addArgument("revision").type(Long.class).help("revision to wait for");
        Subparser hash =
                command(
                        parent,
                        "key-hash",
                        "hash a bearer key for a record",
                        FleetCommands::keyHash);
        hash.addArgument("bearer_key").help("key to hash");
        Subparser stop = parent.addParser("stop").help("plan, withdraw and follow planned stops");
        Subparsers commands = stop.addSubparsers().title("commands").metavar("COMMAND");
        Subparser plan = command(commands, "plan", "plan a stop", FleetCommands::plan);
        target(plan);
        plan.addArgument("--max-wait-ms")
                .type(Long.class)
                .setDefault(900_000L)
                .help("longest time to wait for work in flight, in milliseconds");
        plan.addArgument("--follow")
                .action(Arguments.storeTrue())
                .help("wait until the target is stopped");
        RecordCommands.changing(plan);
        Subparser withdraw =
                command(commands, "withdraw", "withdraw a planned stop", FleetCommands::withdraw);
        target(withdraw);
        RecordCommands.changing(withdraw);
        target(
                command(
                        commands,
                        "follow",
                        "wait until the target is stopped",
                        FleetCommands::follow));
    }

    private static Subparser command(
            Subparsers commands, String name, String help, Command command) {
        return commands.addParser(name).help(help).setDefault("command", command);
    }

    private static void target(Subparser parser) {
        parser.addArgument("target").choices("endpoint", "instance").help("what is stopped");
        parser.addArgument("id").help("name of the endpoint or instance");
    }

    private static ExitCode status(CommandContext context) throws ClientException {
        JsonNode fleet = fleet(context);
        if (context.output().isJson()) {
            context.output().result(fleet);
            return ExitCode.OK;
        }
        context.output()
                .raw(
                        "leader "
                                + fleet.path("leader").asText()
                                + ", revision "
                                + fleet.path("revision")
                                + "\n");
        context.output()
                .table(
                        fleet.path("instances"),
                        List.of(
                                "id",
                                "incarnation",
                                "availabilityZone",
                                "httpAddress",
                                "appliedRevision",
                                "readiness",
                                "ownedRunning"));
        context.output()
                .table(
                        fleet.path("endpoints"),
                        List.of(
                                "id",
                                "service",
                                "address",
                                "availabilityZone",
                                "running",
                                "queued"));
        context.output().table(fleet.path("stops"), List.of("name", "state", "inFlight"));
        return ExitCode.OK;
    }

    private static JsonNode fleet(CommandContext context) throws ClientException {
        return context.client().call(ClientRequest.of("GET", "/admin/v1/fleet")).json();
    }

    private static ExitCode addresses(CommandContext context) throws ClientException {
        JsonNode answer = context.client().call(ClientRequest.of("GET", "/v1/addresses")).json();
        context.output()
                .table(
                        answer.path("addresses"),
                        List.of("address", "instance", "availabilityZone", "weight"));
        return ExitCode.OK;
    }

    private static ExitCode keyHash(CommandContext context) {
        byte[] salt = new byte[SALT_BYTES];
        new SecureRandom().nextBytes(salt);
        ObjectNode result = MAPPER.createObjectNode();
        result.put("keyHash", KeyHash.create(context.text("bearer_key"), salt));
        context.output().result(result);
        return ExitCode.OK;
    }

    private static ExitCode waitFor(CommandContext context) throws ClientException {
        return waitFor(context, context.arguments().getLong("revision"));
    }

    static ExitCode waitFor(CommandContext context, long revision) throws ClientException {
        long timeoutMs = context.arguments().getLong("timeout_ms");
        long deadlineMs = context.clock().nowMs() + timeoutMs;
        JsonNode answer;
        do {
            answer =
                    context.client()
                            .call(
                                    ClientRequest.of(
                                            "GET",
                                            "/admin/v1/revision?waitFor="
                                                    + revision
                                                    + "&timeoutMs="
                                                    + POLL_MS))
                            .json();
            if (answer.path("inForce").asBoolean()) {
                context.output().result(answer);
                return ExitCode.OK;
            }
            context.output().progress("waiting for " + answer.path("behind"));
        } while (context.clock().nowMs() < deadlineMs);
        context.output().result(answer);
        return ExitCode.TIMED_OUT;
    }

    private static String stopPath(CommandContext context) {
        return "/admin/v1/records/stop/" + stopName(context);
    }

    private static String stopName(CommandContext context) {
        return context.text("target") + ":" + context.text("id");
    }

    private static ExitCode plan(CommandContext context) throws ClientException {
        ObjectNode record =
                MAPPER.createObjectNode().put("schemaVersion", 1).put("minimumReader", 1);
        record.putObject("body").put("maxWaitMs", context.arguments().getLong("max_wait_ms"));
        ExitCode changed =
                RecordCommands.change(
                        context,
                        ClientRequest.of("PUT", stopPath(context))
                                .withBody(
                                        "application/json",
                                        record.toString().getBytes(StandardCharsets.UTF_8)));
        boolean follow = Boolean.TRUE.equals(context.arguments().getBoolean("follow"));
        return changed == ExitCode.OK && follow ? follow(context) : changed;
    }

    private static ExitCode withdraw(CommandContext context) throws ClientException {
        return RecordCommands.change(context, ClientRequest.of("DELETE", stopPath(context)));
    }

    private static ExitCode follow(CommandContext context) throws ClientException {
        long deadlineMs = context.clock().nowMs() + context.arguments().getLong("timeout_ms");
        while (context.clock().nowMs() < deadlineMs) {
            for (JsonNode stop : fleet(context).path("stops")) {
                if (stop.path("name").asText().equals(stopName(context))) {
                    if (stop.path("state").asText().equals("stopped")) {
                        context.output().result(stop);
                        return ExitCode.OK;
                    }
                    context.output().progress("in flight: " + stop.path("inFlight"));
                }
            }
            LockSupport.parkNanos(POLL_MS * 1_000_000L);
        }
        return ExitCode.TIMED_OUT;
    }
}
