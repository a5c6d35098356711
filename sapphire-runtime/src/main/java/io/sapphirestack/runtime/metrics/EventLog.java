package io.sapphirestack.runtime.metrics;

import java.util.Objects;
import java.util.regex.Pattern;
import org.jboss.logging.Logger;

/**
 * Writes numbered events. An event is one line: its identifier ({@code SAPnnnn}, catalogued in
 * {@code docs/events.md}), a fixed sentence, and fields as {@code key=value}. Thread-safe.
 */
public final class EventLog {

    private static final Pattern ID = Pattern.compile("SAP[0-9]{4}");

    private final Logger logger;

    private EventLog(Logger logger) {
        this.logger = logger;
    }

    /**
     * Returns the log of a class.
     *
     * @param source class whose name becomes the log category
     * @return log for its events
     */
    public static EventLog of(Class<?> source) {
        return new EventLog(Logger.getLogger(source));
    }

    /**
     * Writes an event that is only of interest when looking for a cause.
     *
     * @param id identifier from the catalogue
     * @param message fixed sentence
     * @param fields names and values in turn
     */
    public void debug(String id, String message, Object... fields) {
        if (logger.isDebugEnabled()) {
            logger.debug(format(id, message, fields));
        }
    }

    /**
     * Writes an event of normal operation.
     *
     * @param id identifier from the catalogue
     * @param message fixed sentence
     * @param fields names and values in turn
     */
    public void info(String id, String message, Object... fields) {
        if (logger.isInfoEnabled()) {
            logger.info(format(id, message, fields));
        }
    }

    /**
     * Writes an event that an operator should know about.
     *
     * @param id identifier from the catalogue
     * @param message fixed sentence
     * @param fields names and values in turn
     */
    public void warn(String id, String message, Object... fields) {
        logger.warn(format(id, message, fields));
    }

    /**
     * Writes a failure that the process cannot handle by itself.
     *
     * @param id identifier from the catalogue
     * @param cause failure, or {@code null}
     * @param message fixed sentence
     * @param fields names and values in turn
     */
    public void error(String id, Throwable cause, String message, Object... fields) {
        logger.error(format(id, message, fields), cause);
    }

    static String format(String id, String message, Object... fields) {
        if (!ID.matcher(id).matches()) {
            throw new IllegalArgumentException("not an event identifier: " + id);
        }
        if (fields.length % 2 != 0) {
            throw new IllegalArgumentException("fields need a name and a value each: " + id);
        }
        StringBuilder line = new StringBuilder(id).append(' ').append(message);
        for (int i = 0; i < fields.length; i += 2) {
            line.append(' ').append(fields[i]).append('=');
            appendValue(line, Objects.toString(fields[i + 1]));
        }
        return line.toString();
    }

    // Values with spaces, quotes or control characters are quoted, so that a line stays one line
    // and can be split by tools.
    private static void appendValue(StringBuilder line, String value) {
        if (!value.isEmpty() && value.chars().allMatch(c -> c > ' ' && c != '"' && c != '=')) {
            line.append(value);
            return;
        }
        line.append('"');
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            if (c == '"' || c == '\\') {
                line.append('\\').append(c);
            } else {
                line.append(c < ' ' ? ' ' : c);
            }
        }
        line.append('"');
    }
}
