package io.sapphirestack.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Guards against log events that are missing from {@code docs/events.md} or listed there with
 * another level, and against entries for events that the code does not log.
 */
class EventCatalogueTests {

    private static final Pattern ID = Pattern.compile("\"(SAP[0-9]{4})[ :\"]");
    private static final Pattern CALL =
            Pattern.compile(
                    "(?i:log)\\.(debug|info|warn|error)f?\\(\\s*(?:[A-Za-z.]+,\\s*)?\"(SAP[0-9]{4})");
    private static final Pattern ENTRY =
            Pattern.compile("^\\| (SAP[0-9]{4}) \\| (debug|info|warn|error) \\| .+ \\|.*\\|$");

    private final Path root = root();

    @Test
    void catalogueListsEachEventOfTheCodeWithItsLevel() throws Exception {
        Map<String, String> catalogue = catalogue();
        TreeSet<String> used = new TreeSet<>();
        Map<String, String> levels = new TreeMap<>();
        for (String source : sources()) {
            Matcher ids = ID.matcher(source);
            while (ids.find()) {
                used.add(ids.group(1));
            }
            Matcher calls = CALL.matcher(source);
            while (calls.find()) {
                String previousLevel = levels.put(calls.group(2), calls.group(1));
                assertThat(previousLevel == null ? calls.group(1) : previousLevel)
                        .as("level of %s", calls.group(2))
                        .isEqualTo(calls.group(1));
            }
        }
        assertThat(used).hasSizeGreaterThan(50).isEqualTo(new TreeSet<>(catalogue.keySet()));
        assertThat(levels).isEqualTo(catalogue);
    }

    private Map<String, String> catalogue() throws IOException {
        Map<String, String> catalogue = new TreeMap<>();
        for (String line : Files.readAllLines(root.resolve("docs/events.md"))) {
            Matcher entry = ENTRY.matcher(line);
            if (entry.matches()) {
                assertThat(catalogue.put(entry.group(1), entry.group(2)))
                        .as("second entry of %s", entry.group(1))
                        .isNull();
            } else {
                assertThat(line).as("malformed entry").doesNotStartWith("| SAP");
            }
        }
        return catalogue;
    }

    private List<String> sources() throws IOException {
        try (Stream<Path> files = Files.walk(root)) {
            return files.filter(file -> file.toString().endsWith(".java"))
                    .filter(file -> file.toString().contains("/src/main/java/"))
                    .map(EventCatalogueTests::read)
                    .collect(Collectors.toList());
        }
    }

    private static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static Path root() {
        Path folder = Path.of("").toAbsolutePath();
        while (!Files.exists(folder.resolve("docs/events.md"))) {
            folder = folder.getParent();
        }
        return folder;
    }
}
