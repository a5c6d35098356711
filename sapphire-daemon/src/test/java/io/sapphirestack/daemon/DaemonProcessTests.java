package io.sapphirestack.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a daemon that cannot start but keeps running, so that its supervisor does not
 * restart it, and against a daemon that exits on SIGHUP, the signal that requests a reload.
 */
class DaemonProcessTests {

    private static final long TIMEOUT_S = 40;

    @TempDir private Path folder;
    private Process process;

    @AfterEach
    void endProcess() throws InterruptedException {
        if (process != null && process.isAlive()) {
            process.destroyForcibly().waitFor();
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private Path startDaemon(Path dataFolder) throws IOException {
        String peer = "127.0.0.1:" + freePort();
        String settings =
                "{\"instance\":{\"id\":\"i1\",\"availabilityZone\":\"az1\",\"region\":\"r1\"},"
                        + "\"http\":{\"listen\":\"127.0.0.1:"
                        + freePort()
                        + "\"},\"peer\":{\"listen\":\""
                        + peer
                        + "\",\"clusterKey\":\"0123456789abcdef\"},\"control\":{\"voters\":[\""
                        + peer
                        + "\"],\"voter\":true},\"dataFolder\":\""
                        + dataFolder
                        + "\",\"bootstrapOperatorKeyHash\":\"sha256$00$"
                        + "ab".repeat(32)
                        + "\"}";
        Path file = Files.writeString(folder.resolve("settings.json"), settings);
        Path log = folder.resolve("log");
        process =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-Xmx64m",
                                "-cp",
                                System.getProperty("java.class.path"),
                                Sapphired.class.getName(),
                                "--config",
                                file.toString())
                        .redirectErrorStream(true)
                        .redirectOutput(log.toFile())
                        .start();
        return log;
    }

    private void sendSignal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    private static void awaitText(Path log, String text) throws Exception {
        long deadlineMs = System.currentTimeMillis() + TimeUnit.SECONDS.toMillis(TIMEOUT_S);
        while (!Files.readString(log).contains(text) && System.currentTimeMillis() < deadlineMs) {
            Thread.onSpinWait();
        }
        assertThat(Files.readString(log)).contains(text);
    }

    @Test
    void voterWithACorruptLogExitsWithStatusOne() throws Exception {
        Path control = Files.createDirectories(folder.resolve("data/control"));
        Files.write(control.resolve("hard-state"), new byte[] {1, 2});
        Path log = startDaemon(folder.resolve("data"));
        assertThat(process.waitFor(TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
        assertThat(process.exitValue()).isEqualTo(InstanceProcess.EXIT_FAILED);
        assertThat(Files.readString(log)).contains("SAP1310");
    }

    @Test
    void reloadSignalDoesNotStopTheDaemonAndTerminationSignalDoes() throws Exception {
        Path log = startDaemon(Files.createDirectories(folder.resolve("data")));
        awaitText(log, "\"readiness\":\"READY\"");
        sendSignal("HUP");
        awaitText(log, "SAP1311");
        assertThat(Files.readString(log)).doesNotContain("SAP1303");
        sendSignal("TERM");
        assertThat(process.waitFor(TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
        assertThat(process.exitValue()).isEqualTo(InstanceProcess.EXIT_OK);
        assertThat(Files.readString(log)).contains("SAP1309");
    }
}
