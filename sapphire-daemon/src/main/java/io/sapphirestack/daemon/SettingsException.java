package io.sapphirestack.daemon;

import java.util.List;

/** The settings file cannot be read or is invalid. */
public final class SettingsException extends DaemonException {

    private static final long serialVersionUID = 1L;

    private final transient List<String> problems;

    /**
     * Creates an exception.
     *
     * @param file name of the settings file
     * @param problems one line per problem: the path of the key and what was expected
     */
    public SettingsException(String file, List<String> problems) {
        super("settings", file, String.join("; ", problems), null);
        this.problems = List.copyOf(problems);
    }

    /** Returns one line per problem: the path of the key and what was expected. */
    public List<String> problems() {
        return problems;
    }
}
