package io.sapphirestack.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sapphirestack.client.ClientException;
import io.sapphirestack.client.ClientRequest;
import io.sapphirestack.client.ClientResponse;
import io.sapphirestack.client.StreamResult;
import io.sapphirestack.client.TokenListener;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.UUID;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Commands of callers: generations, orders and reads. */
final class CallerCommands {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int PROGRESS_TOKENS = 500;

    private CallerCommands() {}

    static void register(Subparsers parent) {
        registerGenerations(parent);
        Subparser order = command(parent, "order", "send an order", CallerCommands::order);
        order.addArgument("service").help("service that executes the order");
        order.addArgument("--idempotency-key").help("key of the order; random by default");
        order.addArgument("--file").required(true).help("body, - for standard input");
        order.addArgument("--content-type")
                .setDefault("application/json")
                .help("media type of the body");
        Subparser outcome =
                command(
                        parent,
                        "outcome",
                        "ask for the outcome of an order",
                        CallerCommands::outcome);
        outcome.addArgument("service").help("service that executes the order");
        outcome.addArgument("idempotency_key").help("key of the order");
        Subparser read = command(parent, "read", "read from a plain service", CallerCommands::read);
        read.addArgument("service").help("service to read from");
        read.addArgument("path").help("path and query");
    }

    private static void registerGenerations(Subparsers parent) {
        Subparser generate =
                command(
                        parent,
                        "generate",
                        "start a generation and print its text",
                        CallerCommands::generate);
        generate.addArgument("--model").required(true).help("name of a model record");
        generate.addArgument("--prompt").help("prompt text");
        generate.addArgument("--prompt-file").help("file with the prompt, - for standard input");
        generate.addArgument("--max-tokens")
                .type(Integer.class)
                .setDefault(256)
                .help("most tokens to generate");
        generate.addArgument("--seed").type(Long.class).help("sampling seed; random by default");
        generate.addArgument("--idempotency-key").help("key of the generation; random by default");
        generate.addArgument("--progress")
                .action(Arguments.storeTrue())
                .help("print progress to standard error");
        Subparser resume =
                command(
                        parent,
                        "continue",
                        "print a generation from an offset on",
                        CallerCommands::resume);
        resume.addArgument("id").help("identifier of the generation");
        resume.addArgument("--from")
                .type(Long.class)
                .setDefault(0L)
                .help("offset of the first token");
        resume.addArgument("--progress")
                .action(Arguments.storeTrue())
                .help("print progress to standard error");
        Subparser generation = parent.addParser("generation").help("show or cancel a generation");
        Subparsers commands = generation.addSubparsers().title("commands").metavar("COMMAND");
        command(commands, "status", "show the progress", CallerCommands::status)
                .addArgument("id")
                .help("identifier of the generation");
        command(commands, "cancel", "cancel", CallerCommands::cancel)
                .addArgument("id")
                .help("identifier of the generation");
    }

    private static Subparser command(
            Subparsers commands, String name, String help, Command command) {
        return commands.addParser(name).help(help).setDefault("command", command);
    }

    private static ExitCode generate(CommandContext context) throws ClientException, CliException {
        String prompt = context.text("prompt");
        String file = context.text("prompt_file");
        if ((prompt == null) == (file == null)) {
            throw new CliException(
                    ExitCode.USAGE, "arguments", "give either --prompt or --prompt-file", null);
        }
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("model", context.text("model"));
        body.put("prompt", prompt == null ? Files.readText(file) : prompt);
        body.put("max_tokens", context.arguments().getInt("max_tokens"));
        if (context.arguments().getLong("seed") != null) {
            body.put("seed", context.arguments().getLong("seed"));
        }
        String key = context.text("idempotency_key");
        return print(
                context,
                listener ->
                        context.client()
                                .generate(
                                        body,
                                        key == null ? UUID.randomUUID().toString() : key,
                                        listener));
    }

    private static ExitCode resume(CommandContext context) throws ClientException {
        return print(
                context,
                listener ->
                        context.client()
                                .continueGeneration(
                                        context.text("id"),
                                        context.arguments().getLong("from"),
                                        listener));
    }

    /** Reads a generation and hands its tokens to a listener. */
    @FunctionalInterface
    private interface Reading {
        StreamResult read(TokenListener listener) throws ClientException;
    }

    private static ExitCode print(CommandContext context, Reading reading) throws ClientException {
        boolean progress = Boolean.TRUE.equals(context.arguments().getBoolean("progress"));
        StringBuilder text = new StringBuilder();
        StreamResult result =
                reading.read(
                        (id, offset, token) -> {
                            if (context.output().isJson()) {
                                text.append(token);
                            } else {
                                context.output().raw(token);
                            }
                            if (progress && offset % PROGRESS_TOKENS == 0) {
                                context.output().progress(id + ": " + offset + " tokens");
                            }
                        });
        if (context.output().isJson()) {
            ObjectNode json = MAPPER.valueToTree(result);
            context.output().result(json.put("text", text.toString()));
        } else {
            context.output().raw("\n");
            context.output().progress(MAPPER.valueToTree(result).toString());
        }
        return ExitCode.OK;
    }

    private static ExitCode status(CommandContext context) throws ClientException {
        context.output().result(context.client().call(generation(context, "GET")).json());
        return ExitCode.OK;
    }

    private static ExitCode cancel(CommandContext context) throws ClientException {
        context.client().call(generation(context, "DELETE"));
        return ExitCode.OK;
    }

    private static ClientRequest generation(CommandContext context, String method) {
        return ClientRequest.of(method, "/v1/generations/" + encode(context.text("id")));
    }

    private static ExitCode order(CommandContext context) throws ClientException, CliException {
        String key = context.text("idempotency_key");
        if (key == null) {
            key = UUID.randomUUID().toString();
            context.output().progress("idempotency key: " + key);
        }
        ClientRequest request =
                ClientRequest.of(
                                "POST",
                                "/v1/services/" + encode(context.text("service")) + "/orders")
                        .withHeader("Idempotency-Key", key)
                        .withBody(context.text("content_type"), Files.read(context.text("file")));
        return printAnswer(context, context.client().call(request));
    }

    private static ExitCode outcome(CommandContext context) throws ClientException {
        String path =
                "/v1/services/"
                        + encode(context.text("service"))
                        + "/orders/"
                        + encode(context.text("idempotency_key"));
        JsonNode answer = context.client().call(ClientRequest.of("GET", path)).json();
        context.output().result(answer);
        return answer.path("state").asText().equals("reserved") ? ExitCode.UNKNOWN : ExitCode.OK;
    }

    private static ExitCode read(CommandContext context) throws ClientException {
        String path =
                "/v1/services/" + encode(context.text("service")) + "/read/" + context.text("path");
        return printAnswer(context, context.client().call(ClientRequest.of("GET", path)));
    }

    private static ExitCode printAnswer(CommandContext context, ClientResponse answer) {
        String body = new String(answer.body(), StandardCharsets.UTF_8);
        if (context.output().isJson()) {
            ObjectNode json = MAPPER.createObjectNode().put("status", answer.status());
            json.put("stored", "true".equals(answer.headers().get("sapphire-stored")));
            context.output().result(json.put("body", body));
        } else {
            context.output().raw(body + "\n");
        }
        return answer.status() < 400 ? ExitCode.OK : ExitCode.FAILED;
    }

    private static String encode(String segment) {
        return URLEncoder.encode(segment, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
