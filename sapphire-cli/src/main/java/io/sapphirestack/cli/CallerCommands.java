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

/** Commands for callers: generations, orders and reads. */
final class CallerCommands {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int PROGRESS_INTERVAL_TOKENS = 500;

    private CallerCommands() {}

    static void register(Subparsers parent) {
        registerGenerations(parent);
        Subparser order = addCommand(parent, "order", "send an order", CallerCommands::order);
        order.addArgument("service").help("service that executes the order");
        order.addArgument("--idempotency-key")
                .help("idempotency key of the order; random by default");
        order.addArgument("--file")
                .required(true)
                .help("file with the request body, - for standard input");
        order.addArgument("--content-type")
                .setDefault("application/json")
                .help("media type of the body");
        Subparser outcome =
                addCommand(
                        parent, "outcome", "show the outcome of an order", CallerCommands::outcome);
        outcome.addArgument("service").help("service that executes the order");
        outcome.addArgument("idempotency_key").help("idempotency key of the order");
        Subparser read =
                addCommand(parent, "read", "read from a plain service", CallerCommands::read);
        read.addArgument("service").help("service to read from");
        read.addArgument("path").help("path and query at the service");
    }

    private static void registerGenerations(Subparsers parent) {
        Subparser generate =
                addCommand(
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
                .help("maximum number of tokens to generate");
        generate.addArgument("--seed").type(Long.class).help("sampling seed; random by default");
        generate.addArgument("--idempotency-key")
                .help("idempotency key of the generation; random by default");
        generate.addArgument("--progress")
                .action(Arguments.storeTrue())
                .help("print progress to standard error");
        Subparser resume =
                addCommand(
                        parent,
                        "continue",
                        "print the text of a generation from an offset on",
                        CallerCommands::resume);
        resume.addArgument("id").help("identifier of the generation");
        resume.addArgument("--from")
                .type(Long.class)
                .setDefault(0L)
                .help("offset of the first token to print");
        resume.addArgument("--progress")
                .action(Arguments.storeTrue())
                .help("print progress to standard error");
        Subparser generation = parent.addParser("generation").help("show or cancel a generation");
        Subparsers commands = generation.addSubparsers().title("commands").metavar("COMMAND");
        addCommand(commands, "status", "show the status of a generation", CallerCommands::status)
                .addArgument("id")
                .help("identifier of the generation");
        addCommand(commands, "cancel", "cancel a generation", CallerCommands::cancel)
                .addArgument("id")
                .help("identifier of the generation");
    }

    private static Subparser addCommand(
            Subparsers commands, String name, String help, CliCommand command) {
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
        body.put("prompt", prompt == null ? InputFiles.readText(file) : prompt);
        body.put("max_tokens", context.arguments().getInt("max_tokens"));
        if (context.arguments().getLong("seed") != null) {
            body.put("seed", context.arguments().getLong("seed"));
        }
        String key = context.text("idempotency_key");
        return printGeneration(
                context,
                listener ->
                        context.client()
                                .generate(
                                        body,
                                        key == null ? UUID.randomUUID().toString() : key,
                                        listener));
    }

    private static ExitCode resume(CommandContext context) throws ClientException {
        return printGeneration(
                context,
                listener ->
                        context.client()
                                .continueGeneration(
                                        context.text("id"),
                                        context.arguments().getLong("from"),
                                        listener));
    }

    /** Reads a generation and passes its tokens to a listener. */
    @FunctionalInterface
    private interface GenerationReader {
        StreamResult readTo(TokenListener listener) throws ClientException;
    }

    private static ExitCode printGeneration(CommandContext context, GenerationReader reader)
            throws ClientException {
        boolean showProgress = Boolean.TRUE.equals(context.arguments().getBoolean("progress"));
        StringBuilder text = new StringBuilder();
        StreamResult result =
                reader.readTo(
                        (id, offset, token) -> {
                            if (context.printer().isJson()) {
                                text.append(token);
                            } else {
                                context.printer().printText(token);
                            }
                            if (showProgress && offset % PROGRESS_INTERVAL_TOKENS == 0) {
                                context.printer().printProgress(id + ": " + offset + " tokens");
                            }
                        });
        if (context.printer().isJson()) {
            ObjectNode json = MAPPER.valueToTree(result);
            context.printer().printResult(json.put("text", text.toString()));
        } else {
            context.printer().printText("\n");
            context.printer().printProgress(MAPPER.valueToTree(result).toString());
        }
        return ExitCode.OK;
    }

    private static ExitCode status(CommandContext context) throws ClientException {
        context.printer()
                .printResult(context.client().call(generationRequest(context, "GET")).json());
        return ExitCode.OK;
    }

    private static ExitCode cancel(CommandContext context) throws ClientException {
        context.client().call(generationRequest(context, "DELETE"));
        return ExitCode.OK;
    }

    private static ClientRequest generationRequest(CommandContext context, String method) {
        return ClientRequest.of(method, "/v1/generations/" + encodePathSegment(context.text("id")));
    }

    private static ExitCode order(CommandContext context) throws ClientException, CliException {
        String key = context.text("idempotency_key");
        if (key == null) {
            key = UUID.randomUUID().toString();
            context.printer().printProgress("idempotency key: " + key);
        }
        ClientRequest request =
                ClientRequest.of(
                                "POST",
                                "/v1/services/"
                                        + encodePathSegment(context.text("service"))
                                        + "/orders")
                        .withHeader("Idempotency-Key", key)
                        .withBody(
                                context.text("content_type"),
                                InputFiles.readBytes(context.text("file")));
        return printResponse(context, context.client().call(request));
    }

    private static ExitCode outcome(CommandContext context) throws ClientException {
        String path =
                "/v1/services/"
                        + encodePathSegment(context.text("service"))
                        + "/orders/"
                        + encodePathSegment(context.text("idempotency_key"));
        JsonNode response = context.client().call(ClientRequest.of("GET", path)).json();
        context.printer().printResult(response);
        return response.path("state").asText().equals("reserved") ? ExitCode.UNKNOWN : ExitCode.OK;
    }

    private static ExitCode read(CommandContext context) throws ClientException {
        String path =
                "/v1/services/"
                        + encodePathSegment(context.text("service"))
                        + "/read/"
                        + context.text("path");
        return printResponse(context, context.client().call(ClientRequest.of("GET", path)));
    }

    private static ExitCode printResponse(CommandContext context, ClientResponse response) {
        String body = new String(response.body(), StandardCharsets.UTF_8);
        if (context.printer().isJson()) {
            ObjectNode json = MAPPER.createObjectNode().put("status", response.status());
            json.put("stored", "true".equals(response.headers().get("sapphire-stored")));
            context.printer().printResult(json.put("body", body));
        } else {
            context.printer().printText(body + "\n");
        }
        return response.status() < 400 ? ExitCode.OK : ExitCode.FAILED;
    }

    private static String encodePathSegment(String segment) {
        return URLEncoder.encode(segment, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
