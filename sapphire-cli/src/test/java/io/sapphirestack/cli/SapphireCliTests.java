package io.sapphirestack.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.sapphirestack.client.ClientException;
import io.sapphirestack.client.ProblemDetails;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against changed exit codes, which scripts depend on, and against invalid arguments that
 * are accepted or reported without an error message.
 */
class SapphireCliTests {

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();
    private final SapphireCli cli =
            new SapphireCli(new PrintStream(out), new PrintStream(err), Map.of());

    @ParameterizedTest
    @CsvSource({
        "401, no, FORBIDDEN",
        "403, no, FORBIDDEN",
        "404, no, NOT_FOUND",
        "409, unknown, UNKNOWN",
        "410, unknown, NOT_FOUND",
        "412, no, CONFLICT",
        "422, no, REFUSED",
        "503, no, REFUSED",
        "503, unknown, UNKNOWN",
        "504, unknown, UNKNOWN"
    })
    void mapsRefusalsToExitCodes(int status, String executed, ExitCode expected) throws Exception {
        ProblemDetails problem =
                ProblemDetails.of(
                        status, new ObjectMapper().readTree("{\"ran\":\"" + executed + "\"}"));

        assertThat(ExitCode.of(new ClientException("a:1", problem))).isEqualTo(expected);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "nonsense",
                "record put service",
                "--output yaml status",
                "wait soon",
                "generate --model m",
                "generate --model m --prompt a --prompt-file b",
                "--timeout-ms 0 status",
                "record put service s --file /nonexistent/file"
            })
    void reportsInvalidArguments(String line) {
        assertThat(cli.run(line.split(" "))).isEqualTo(ExitCode.USAGE);
        assertThat(err.toString(StandardCharsets.UTF_8)).contains("sapphire");
    }

    @ParameterizedTest
    @ValueSource(strings = {"not json", "{}", "{\"body\":3}"})
    void rejectsRecordFileWithoutBody(String content, @TempDir Path folder) throws Exception {
        Path file = Files.writeString(folder.resolve("record.json"), content);

        assertThat(cli.run("record", "put", "service", "s", "--file", file.toString()))
                .isEqualTo(ExitCode.USAGE);
        assertThat(err.toString(StandardCharsets.UTF_8)).contains("parse-record");
    }

    /** A response that is no HTTP is not printed as one of the system (issue 47). */
    @ParameterizedTest
    @ValueSource(strings = {"Content Length: 2", "X-Note: v\r\n w", "Content-Length: +2"})
    void responseThatIsNoHttpIsNone(String fields) throws Exception {
        byte[] response =
                ("HTTP/1.1 200 OK\r\n" + fields + "\r\n\r\n{}").getBytes(StandardCharsets.UTF_8);
        try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            Thread thread = new Thread(() -> sendToAll(server, response), "malformed-server");
            thread.setDaemon(true);
            thread.start();
            ExitCode exitCode =
                    cli.run(
                            "--addresses",
                            "127.0.0.1:" + server.getLocalPort(),
                            "--timeout-ms",
                            "300",
                            "status");

            assertThat(exitCode).isEqualTo(ExitCode.UNREACHABLE);
            assertThat(out.toString(StandardCharsets.UTF_8)).isEmpty();
        }
    }

    private static void sendToAll(ServerSocket server, byte[] response) {
        while (!server.isClosed()) {
            try (Socket socket = server.accept()) {
                socket.getInputStream().read(new byte[8_192]);
                socket.getOutputStream().write(response);
            } catch (IOException e) {
                // The client has closed the connection, or the test has ended.
                continue;
            }
        }
    }

    @Test
    void reportsUnreachableSystemAsJson() throws Exception {
        ExitCode exitCode =
                cli.run(
                        "--output",
                        "json",
                        "--addresses",
                        "127.0.0.1:1",
                        "--timeout-ms",
                        "1",
                        "status");

        assertThat(exitCode).isEqualTo(ExitCode.UNREACHABLE);
        assertThat(new ObjectMapper().readTree(err.toByteArray()).path("exitCode").asInt())
                .isEqualTo(8);
    }

    @ParameterizedTest
    @ValueSource(strings = {"--help", "record --help", "stop plan --help", "generate --help"})
    void acceptsHelp(String line) {
        assertThat(cli.run(line.split(" "))).isEqualTo(ExitCode.OK);
    }
}
