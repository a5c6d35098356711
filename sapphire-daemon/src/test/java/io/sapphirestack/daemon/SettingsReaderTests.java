package io.sapphirestack.daemon;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against wrong settings that are accepted, such as an unknown key or a voter without a data
 * folder, and against errors that do not name the key and the expected value.
 */
class SettingsReaderTests {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String VALID =
            "{\"instance\":{\"id\":\"i1\",\"availabilityZone\":\"az1\",\"region\":\"r1\"},"
                    + "\"http\":{\"listen\":\"127.0.0.1:8101\"},"
                    + "\"peer\":{\"listen\":\"127.0.0.1:8201\",\"clusterKey\":\"0123456789abcdef\"},"
                    + "\"control\":{\"voters\":[\"127.0.0.1:8201\",\"127.0.0.1:8202\"],"
                    + "\"voter\":true},\"dataFolder\":\"/data\","
                    + "\"bootstrapOperatorKeyHash\":\"sha256$00$"
                    + "ab".repeat(32)
                    + "\",\"limits\":{\"streams\":10}}";

    @TempDir Path folder;

    @Test
    void validSettingsAreReadWithTheirDefaults() throws Exception {
        DaemonSettings settings = SettingsReader.parse(VALID, "test");
        assertThat(settings.instance().id()).isEqualTo("i1");
        assertThat(settings.voters()).containsExactly("127.0.0.1:8201", "127.0.0.1:8202");
        assertThat(settings.dataFolder()).hasValue(Path.of("/data"));
        assertThat(settings.limits().streams()).isEqualTo(10);
        assertThat(settings.limits().bodyBytes()).isEqualTo(4 * 1024 * 1024);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "/instance/id | \"i 1\" | instance.id: expected a name",
                "/instance/zone | \"a\" | instance.zone: unknown key; known keys are",
                "/extra | 1 | extra: unknown key",
                "/http/listen | 8101 | http.listen: expected an IP address and a port",
                "/http/listen | \"host:8101\" | http.listen: expected an IP address and a port",
                "/http/listen | \"127.0.0.1:70000\" | http.listen: expected a port from 1 to 65535",
                "/http/listen | \"127.0.0.1:0\" | http.listen: expected a port from 1 to 65535",
                "/http/listen | \"0.0.0.0:81\" | http.listen: expected an address that others",
                "/http/listen | \"999.0.0.1:81\" | http.listen: expected an IP address",
                "/peer/clusterKey | \"short\" | peer.clusterKey: expected a secret",
                "/peer/clusterKey | null | peer.clusterKey: expected a secret",
                "/control/voters | [] | control.voters: expected a list",
                "/control/voters | [\"127.0.0.1:9\"] | control.voters: expected to contain",
                "/control/voters | [\"x\"] | control.voters.0: expected an IP address",
                "/control/voter | \"yes\" | control.voter: expected true or false",
                "/control/voter | false | control.voter: expected true because dataFolder",
                "/dataFolder | \"relative\" | dataFolder: expected an absolute path",
                "/bootstrapOperatorKeyHash | \"md5$1$2\" | bootstrapOperatorKeyHash: expected",
                "/limits/bodyBytes | \"4MiB\" | limits.bodyBytes: expected a number of bytes",
                "/limits/bodyMb | 4 | limits.bodyMb: unknown key",
                "/limits/connections | 5 | limits.connections: expected more than limits.streams",
            })
    void errorNamesPathAndExpectedValueOfWrongSetting(String pointer, String value, String problem)
            throws Exception {
        JsonNode root = JSON.readTree(VALID);
        int slash = pointer.lastIndexOf('/');
        ((ObjectNode) root.at(pointer.substring(0, slash)))
                .set(pointer.substring(slash + 1), JSON.readTree(value));
        assertThatThrownBy(() -> SettingsReader.parse(root.toString(), "test"))
                .isInstanceOfSatisfying(
                        SettingsException.class,
                        e ->
                                assertThat(e.problems())
                                        .anySatisfy(line -> assertThat(line).startsWith(problem)));
    }

    @ParameterizedTest
    @CsvSource({
        "instance, instance: is missing",
        "dataFolder, dataFolder: is missing; a voter needs",
        "bootstrapOperatorKeyHash, bootstrapOperatorKeyHash: is missing"
    })
    void errorNamesMissingSetting(String key, String problem) throws Exception {
        ObjectNode root = (ObjectNode) JSON.readTree(VALID);
        root.remove(key);
        assertThatThrownBy(() -> SettingsReader.parse(root.toString(), "test"))
                .hasMessageContaining(problem);
    }

    @Test
    void duplicateKeyAndTrailingTextAreRejected() {
        assertThatThrownBy(() -> SettingsReader.parse("{\"http\":1,\"http\":2}", "test"))
                .hasMessageContaining("not valid JSON");
        assertThatThrownBy(() -> SettingsReader.parse(VALID + "}", "test"))
                .hasMessageContaining("not valid JSON");
    }

    @Test
    void wrongArgumentsAndSettingsGiveExitStatusTwo() throws Exception {
        Path bad = Files.writeString(folder.resolve("bad.json"), "{}");
        Path good = Files.writeString(folder.resolve("good.json"), VALID);
        assertThat(run("--config", bad.toString())).isEqualTo("2 instance: is missing");
        assertThat(run("--config", good.toString(), "--check")).startsWith("0 ");
        assertThat(run("--config", "/no/such/file")).startsWith("2 (file): cannot be read");
        assertThat(run("--unknown")).startsWith("2 ");
        assertThat(run()).startsWith("2 --config FILE is required");
        assertThat(run("--version")).startsWith("0 ");
    }

    /**
     * Runs the program; returns the exit status and an error line, preferring a missing instance
     * key.
     */
    private static String run(String... arguments) {
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        PrintStream out = new PrintStream(new ByteArrayOutputStream());
        int status = Sapphired.run(arguments, out, new PrintStream(err));
        String text = err.toString(StandardCharsets.UTF_8);
        String firstLine =
                text.lines()
                        .map(line -> line.replace("sapphired: ", ""))
                        .filter(line -> !line.startsWith("instance: is missing;"))
                        .findFirst()
                        .orElse("");
        return status
                + " "
                + (text.contains("instance: is missing;") ? "instance: is missing" : firstLine);
    }
}
