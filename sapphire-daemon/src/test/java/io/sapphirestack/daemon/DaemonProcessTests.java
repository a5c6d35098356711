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
 * Guards the life of the process: a daemon that cannot start must end, or nobody restarts it, and a
 * signal that asks for a reload must not stop it.
 */
class DaemonProcessTests {

    private static final long END_LIMIT_S = 40;

    @TempDir private Path folder;
    private Process process;

    @AfterEach
    void end() throws InterruptedException {
        if (process != null && process.isAlive()) {
            process.destroyForcibly().waitFor();
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private Path start(Path dataFolder) throws IOException {
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

    private void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    private static void awaitText(Path log, String text) throws Exception {
        long endMs = System.currentTimeMillis() + TimeUnit.SECONDS.toMillis(END_LIMIT_S);
        while (!Files.readString(log).contains(text) && System.currentTimeMillis() < endMs) {
            Thread.onSpinWait();
        }
        assertThat(Files.readString(log)).contains(text);
    }

    @Test
    void voterWithADamagedLogEndsWithStatusOne() throws Exception {
        Path control = Files.createDirectories(folder.resolve("data/control"));
        Files.write(control.resolve("hard-state"), new byte[] {1, 2});
        Path log = start(folder.resolve("data"));
        assertThat(process.waitFor(END_LIMIT_S, TimeUnit.SECONDS)).isTrue();
        assertThat(process.exitValue()).isEqualTo(InstanceProcess.EXIT_FAILED);
        assertThat(Files.readString(log)).contains("SAP1310");
    }

    @Test
    void reloadDoesNotStopTheDaemonAndAPlannedStopEndsIt() throws Exception {
        Path log = start(Files.createDirectories(folder.resolve("data")));
        awaitText(log, "\"readiness\":\"READY\"");
        signal("HUP");
        awaitText(log, "SAP1311");
        assertThat(Files.readString(log)).doesNotContain("SAP1303");
        signal("TERM");
        assertThat(process.waitFor(END_LIMIT_S, TimeUnit.SECONDS)).isTrue();
        assertThat(process.exitValue()).isEqualTo(InstanceProcess.EXIT_OK);
        assertThat(Files.readString(log)).contains("SAP1309");
    }
}
