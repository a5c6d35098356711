package io.sapphirestack.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against log events of a request that are missing, in the wrong order, or mixed with those
 * of another request when an operator looks up its identifier.
 */
class ExplainCommandTests {

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();
    private final SapphireCli cli =
            new SapphireCli(new PrintStream(out), new PrintStream(err), Map.of());

    @TempDir private Path folder;

    private Path writeLog(String name, String... lines) throws Exception {
        return Files.write(folder.resolve(name), List.of(lines));
    }

    private static String logLine(String time, String event, String message, String fields) {
        return "{\"timeUtc\":\"2026-01-01T00:00:"
                + time
                + "Z\",\"level\":\"INFO\",\"event\":\""
                + event
                + "\",\"message\":\""
                + message
                + "\""
                + fields
                + "}";
    }

    @Test
    void eventsOfAllInstancesAreOrderedByTime() throws Exception {
        Path first =
                writeLog(
                        "i1.log",
                        "no JSON that names r1",
                        logLine(
                                "02.000",
                                "SAP1915",
                                "lost",
                                ",\"request\":\"r1\",\"silentMs\":300"),
                        logLine(
                                "01.000",
                                "SAP1914",
                                "placed",
                                ",\"request\":\"r1\",\"endpoint\":\"e\""),
                        logLine(
                                "01.500",
                                "SAP1914",
                                "placed",
                                ",\"request\":\"r2\",\"note\":\"r1\""));
        Path second =
                writeLog(
                        "i2.log",
                        "  3.1 i2 "
                                + logLine(
                                        "03.000", "SAP1913", "broken off", ",\"request\":\"r1\""));
        ExitCode exitCode = cli.run("explain", "r1", first.toString(), second.toString());
        assertThat(exitCode).isEqualTo(ExitCode.OK);
        assertThat(out.toString(StandardCharsets.UTF_8).lines())
                .containsExactly(
                        "2026-01-01T00:00:01.000Z SAP1914 placed, endpoint=e",
                        "2026-01-01T00:00:02.000Z SAP1915 lost, silentMs=300",
                        "2026-01-01T00:00:03.000Z [3.1 i2] SAP1913 broken off");
    }

    @Test
    void unknownRequestAndMissingFileAreErrors() throws Exception {
        Path file =
                writeLog("i1.log", logLine("01.000", "SAP1914", "placed", ",\"request\":\"r2\""));
        assertThat(cli.run("explain", "r1", file.toString())).isEqualTo(ExitCode.NOT_FOUND);
        assertThat(cli.run("explain", "r1", folder.resolve("none").toString()))
                .isEqualTo(ExitCode.FAILED);
        assertThat(err.toString(StandardCharsets.UTF_8)).contains("r1").contains("none");
    }
}
