package io.sapphirestack.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against launchers that fail with a class loading error in a clone that is not built. */
class LauncherScriptTests {

    private static final int NOT_BUILT = 69;

    @ParameterizedTest
    @CsvSource({
        "sapphire, sapphire-cli",
        "sapphired, sapphire-daemon",
        "standin, sapphire-standins"
    })
    void launcherTellsHowToBuild(String name, String module, @TempDir Path clone) throws Exception {
        Path bin = Files.createDirectory(clone.resolve("bin"));
        for (String file : new String[] {name, "require-jar.sh"}) {
            Files.copy(Path.of("..", "bin", file), bin.resolve(file));
        }
        Process process =
                new ProcessBuilder("bash", bin.resolve(name).toString(), "--version")
                        .redirectErrorStream(true)
                        .start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertThat(process.waitFor(10, TimeUnit.SECONDS)).isTrue();
        assertThat(process.exitValue()).isEqualTo(NOT_BUILT);
        assertThat(output.lines()).hasSize(1);
        assertThat(output).contains(module + " is not built").contains("mvn");
    }
}
