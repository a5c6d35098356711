package io.sapphirestack.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/** Reads files named in arguments; {@code -} stands for standard input. */
final class InputFiles {

    private InputFiles() {}

    static byte[] readBytes(String name) throws CliException {
        try {
            return name.equals("-")
                    ? System.in.readAllBytes()
                    : java.nio.file.Files.readAllBytes(Path.of(name));
        } catch (IOException e) {
            throw new CliException(ExitCode.USAGE, "read-file", "cannot read the file " + name, e);
        }
    }

    static String readText(String name) throws CliException {
        return new String(readBytes(name), StandardCharsets.UTF_8);
    }
}
