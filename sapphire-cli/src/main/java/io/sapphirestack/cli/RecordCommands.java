package io.sapphirestack.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sapphirestack.client.ClientException;
import io.sapphirestack.client.ClientRequest;
import io.sapphirestack.client.ClientResponse;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.UUID;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Commands on configuration records. */
final class RecordCommands {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String RECORDS = "/admin/v1/records";

    private RecordCommands() {}

    static void register(Subparsers parent) {
        Subparser record = parent.addParser("record").help("show and change configuration records");
        Subparsers commands = record.addSubparsers().title("commands").metavar("COMMAND");
        Subparser list = command(commands, "list", "list records", RecordCommands::list);
        list.addArgument("--kind").help("only records of this kind");
        keyed(command(commands, "get", "show a record", RecordCommands::get));
        keyed(
                command(
                        commands,
                        "history",
                        "show the last versions of a record",
                        RecordCommands::history));
        Subparser diff =
                command(
                        commands,
                        "diff",
                        "compare a file with the accepted record",
                        RecordCommands::diff);
        keyed(diff);
        diff.addArgument("--file").required(true).help("record as JSON, - for standard input");
        Subparser put = command(commands, "put", "create or replace a record", RecordCommands::put);
        keyed(put);
        put.addArgument("--file").required(true).help("record as JSON, - for standard input");
        changing(put);
        Subparser delete = command(commands, "delete", "delete a record", RecordCommands::delete);
        keyed(delete);
        changing(delete);
    }

    private static Subparser command(
            Subparsers commands, String name, String help, Command command) {
        return commands.addParser(name).help(help).setDefault("command", command);
    }

    private static void keyed(Subparser parser) {
        parser.addArgument("kind").help("kind of the record, such as service");
        parser.addArgument("name").help("name of the record");
    }

    static void changing(Subparser parser) {
        parser.addArgument("--expect")
                .type(Long.class)
                .help(
                        "revision that the record must have, 0 if it must not exist; the current one by default");
        parser.addArgument("--change-id")
                .help("repeat the change id of an earlier try to get its answer");
        parser.addArgument("--dry-run").action(Arguments.storeTrue()).help("only check the change");
        parser.addArgument("--wait")
                .action(Arguments.storeTrue())
                .help("wait until the change is in force");
    }

    private static ExitCode list(CommandContext context) throws ClientException {
        String kind = context.text("kind");
        JsonNode answer =
                context.client()
                        .call(
                                ClientRequest.of(
                                        "GET", kind == null ? RECORDS : RECORDS + "?kind=" + kind))
                        .json();
        context.output()
                .table(
                        answer.path("records"),
                        List.of("key", "revision", "schemaVersion", "operator", "body"));
        return ExitCode.OK;
    }

    private static ExitCode get(CommandContext context) throws ClientException {
        context.output()
                .result(context.client().call(ClientRequest.of("GET", path(context))).json());
        return ExitCode.OK;
    }

    private static ExitCode history(CommandContext context) throws ClientException {
        JsonNode answer =
                context.client().call(ClientRequest.of("GET", path(context) + "/history")).json();
        context.output()
                .table(
                        answer.path("versions"),
                        List.of("revision", "operator", "changeId", "schemaVersion", "body"));
        return ExitCode.OK;
    }

    private static ExitCode diff(CommandContext context) throws ClientException, CliException {
        JsonNode accepted =
                context.client().call(ClientRequest.of("GET", path(context))).json().path("body");
        JsonNode local = parse(Files.read(context.text("file"))).path("body");
        Set<String> fields = new TreeSet<>();
        accepted.fieldNames().forEachRemaining(fields::add);
        local.fieldNames().forEachRemaining(fields::add);
        ArrayNode rows = MAPPER.createArrayNode();
        for (String field : fields) {
            if (!accepted.path(field).equals(local.path(field))) {
                ObjectNode row = rows.addObject().put("field", field);
                row.put("accepted", accepted.path(field).toString());
                row.put("file", local.path(field).toString());
            }
        }
        context.output().table(rows, List.of("field", "accepted", "file"));
        return ExitCode.OK;
    }

    private static ExitCode put(CommandContext context) throws ClientException, CliException {
        byte[] record = Files.read(context.text("file"));
        parse(record);
        return change(
                context,
                ClientRequest.of("PUT", path(context)).withBody("application/json", record));
    }

    private static ExitCode delete(CommandContext context) throws ClientException {
        return change(context, ClientRequest.of("DELETE", path(context)));
    }

    /** Sends a change with its expected revision and change id, and waits for it if asked to. */
    static ExitCode change(CommandContext context, ClientRequest request) throws ClientException {
        String changeId = context.text("change_id");
        if (changeId == null) {
            changeId = UUID.randomUUID().toString();
            context.output().progress("change id: " + changeId);
        }
        Long expected = context.arguments().getLong("expect");
        long revision = expected == null ? currentRevision(context, request.path()) : expected;
        ClientRequest change = request.withHeader("Sapphire-Change-Id", changeId);
        change =
                revision == 0
                        ? change.withHeader("If-None-Match", "*")
                        : change.withHeader("If-Match", "\"" + revision + "\"");
        if (Boolean.TRUE.equals(context.arguments().getBoolean("dry_run"))) {
            change =
                    new ClientRequest(
                            change.method(),
                            change.path() + "?dryRun=true",
                            change.headers(),
                            change.contentType(),
                            change.body());
        }
        ClientResponse answer = context.client().call(change);
        context.output().result(answer.json());
        if (Boolean.TRUE.equals(context.arguments().getBoolean("wait"))) {
            return FleetCommands.waitFor(context, answer.json().path("revision").asLong());
        }
        return ExitCode.OK;
    }

    private static long currentRevision(CommandContext context, String path)
            throws ClientException {
        try {
            return context.client()
                    .call(ClientRequest.of("GET", path))
                    .json()
                    .path("revision")
                    .asLong();
        } catch (ClientException e) {
            if (ExitCode.of(e) == ExitCode.NOT_FOUND) {
                return 0;
            }
            throw e;
        }
    }

    private static String path(CommandContext context) {
        return RECORDS + "/" + context.text("kind") + "/" + context.text("name");
    }

    private static JsonNode parse(byte[] record) throws CliException {
        try {
            JsonNode node = MAPPER.readTree(record);
            if (node == null || !node.path("body").isObject()) {
                throw new CliException(
                        ExitCode.USAGE,
                        "parse-record",
                        "expected {\"schemaVersion\":1,\"minimumReader\":1,\"body\":{...}}",
                        null);
            }
            return node;
        } catch (JsonProcessingException e) {
            throw new CliException(
                    ExitCode.USAGE,
                    "parse-record",
                    "the record is not JSON: " + e.getOriginalMessage(),
                    e);
        } catch (IOException e) {
            throw new CliException(
                    ExitCode.USAGE,
                    "parse-record",
                    "the record cannot be read: " + new String(record, StandardCharsets.UTF_8),
                    e);
        }
    }
}
