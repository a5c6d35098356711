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

/** Commands for configuration records. */
final class RecordCommands {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String RECORDS_PATH = "/admin/v1/records";

    private RecordCommands() {}

    static void register(Subparsers parent) {
        Subparser record = parent.addParser("record").help("show and change configuration records");
        Subparsers commands = record.addSubparsers().title("commands").metavar("COMMAND");
        Subparser list = addCommand(commands, "list", "list records", RecordCommands::list);
        list.addArgument("--kind").help("list only records of this kind");
        addRecordKeyArguments(addCommand(commands, "get", "show a record", RecordCommands::get));
        addRecordKeyArguments(
                addCommand(
                        commands,
                        "history",
                        "show the last versions of a record",
                        RecordCommands::history));
        Subparser diff =
                addCommand(
                        commands,
                        "diff",
                        "compare a file with the accepted record",
                        RecordCommands::diff);
        addRecordKeyArguments(diff);
        diff.addArgument("--file").required(true).help("record as JSON, - for standard input");
        Subparser put =
                addCommand(commands, "put", "create or replace a record", RecordCommands::put);
        addRecordKeyArguments(put);
        put.addArgument("--file").required(true).help("record as JSON, - for standard input");
        addChangeArguments(put);
        Subparser delete =
                addCommand(commands, "delete", "delete a record", RecordCommands::delete);
        addRecordKeyArguments(delete);
        addChangeArguments(delete);
    }

    private static Subparser addCommand(
            Subparsers commands, String name, String help, CliCommand command) {
        return commands.addParser(name).help(help).setDefault("command", command);
    }

    private static void addRecordKeyArguments(Subparser parser) {
        parser.addArgument("kind").help("kind of the record, such as service");
        parser.addArgument("name").help("name of the record");
    }

    static void addChangeArguments(Subparser parser) {
        parser.addArgument("--expect")
                .type(Long.class)
                .help(
                        "expected revision of the record, 0 if it must not exist; the current revision by default");
        parser.addArgument("--change-id")
                .help(
                        "change id of an earlier attempt, to resend it and get its result; random by default");
        parser.addArgument("--dry-run")
                .action(Arguments.storeTrue())
                .help("validate the change without making it");
        parser.addArgument("--wait")
                .action(Arguments.storeTrue())
                .help("wait until the change is in force at all instances");
    }

    private static ExitCode list(CommandContext context) throws ClientException {
        String kind = context.text("kind");
        JsonNode response =
                context.client()
                        .call(
                                ClientRequest.of(
                                        "GET",
                                        kind == null
                                                ? RECORDS_PATH
                                                : RECORDS_PATH + "?kind=" + kind))
                        .json();
        context.printer()
                .printTable(
                        response.path("records"),
                        List.of("key", "revision", "schemaVersion", "operator", "body"));
        return ExitCode.OK;
    }

    private static ExitCode get(CommandContext context) throws ClientException {
        context.printer()
                .printResult(
                        context.client().call(ClientRequest.of("GET", recordPath(context))).json());
        return ExitCode.OK;
    }

    private static ExitCode history(CommandContext context) throws ClientException {
        JsonNode response =
                context.client()
                        .call(ClientRequest.of("GET", recordPath(context) + "/history"))
                        .json();
        context.printer()
                .printTable(
                        response.path("versions"),
                        List.of("revision", "operator", "changeId", "schemaVersion", "body"));
        return ExitCode.OK;
    }

    private static ExitCode diff(CommandContext context) throws ClientException, CliException {
        JsonNode accepted =
                context.client()
                        .call(ClientRequest.of("GET", recordPath(context)))
                        .json()
                        .path("body");
        JsonNode local = parseRecord(InputFiles.readBytes(context.text("file"))).path("body");
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
        context.printer().printTable(rows, List.of("field", "accepted", "file"));
        return ExitCode.OK;
    }

    private static ExitCode put(CommandContext context) throws ClientException, CliException {
        byte[] record = InputFiles.readBytes(context.text("file"));
        parseRecord(record);
        return sendChange(
                context,
                ClientRequest.of("PUT", recordPath(context)).withBody("application/json", record));
    }

    private static ExitCode delete(CommandContext context) throws ClientException {
        return sendChange(context, ClientRequest.of("DELETE", recordPath(context)));
    }

    /** Sends a change with its change id and expected revision, and waits for it with --wait. */
    static ExitCode sendChange(CommandContext context, ClientRequest request)
            throws ClientException {
        String changeId = context.text("change_id");
        if (changeId == null) {
            changeId = UUID.randomUUID().toString();
            context.printer().printProgress("change id: " + changeId);
        }
        Long expectedArgument = context.arguments().getLong("expect");
        long expectedRevision =
                expectedArgument == null
                        ? currentRevision(context, request.path())
                        : expectedArgument;
        ClientRequest change = request.withHeader("Sapphire-Change-Id", changeId);
        change =
                expectedRevision == 0
                        ? change.withHeader("If-None-Match", "*")
                        : change.withHeader("If-Match", "\"" + expectedRevision + "\"");
        if (Boolean.TRUE.equals(context.arguments().getBoolean("dry_run"))) {
            change =
                    new ClientRequest(
                            change.method(),
                            change.path() + "?dryRun=true",
                            change.headers(),
                            change.contentType(),
                            change.body());
        }
        ClientResponse response = context.client().call(change);
        context.printer().printResult(response.json());
        if (Boolean.TRUE.equals(context.arguments().getBoolean("wait"))) {
            return FleetCommands.waitForRevision(
                    context, response.json().path("revision").asLong());
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

    private static String recordPath(CommandContext context) {
        return RECORDS_PATH + "/" + context.text("kind") + "/" + context.text("name");
    }

    private static JsonNode parseRecord(byte[] record) throws CliException {
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
