package io.sapphirestack.runtime.metrics;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.util.OptionalLong;
import java.util.regex.Pattern;
import org.jboss.logging.Logger;

/**
 * Logger for events with an identifier. An event is one line: the identifier ({@code SAPnnnn},
 * listed in {@code docs/events.md}), a fixed sentence, and the fields, if any, as a JSON object.
 * Integers and booleans are written as JSON literals, an empty {@link OptionalLong} as an empty
 * string, and other values as strings. Thread-safe.
 *
 * <p>The methods throw an {@link IllegalArgumentException} if the identifier is malformed or the
 * last field has no value; {@code debug} and {@code info} check this only if their level is
 * enabled.
 */
public final class EventLog {

    private static final Pattern ID = Pattern.compile("SAP[0-9]{4}");

    private final Logger logger;

    private EventLog(Logger logger) {
        this.logger = logger;
    }

    /**
     * Returns the event log of a class.
     *
     * @param source class whose name becomes the log category
     * @return event log
     */
    public static EventLog of(Class<?> source) {
        return new EventLog(Logger.getLogger(source));
    }

    /**
     * Logs an event that helps to diagnose a problem.
     *
     * @param id identifier listed in {@code docs/events.md}
     * @param message fixed sentence
     * @param fields alternating names and values
     */
    public void debug(String id, String message, Object... fields) {
        if (logger.isDebugEnabled()) {
            logger.debug(format(id, message, fields));
        }
    }

    /**
     * Logs an event of normal operation.
     *
     * @param id identifier listed in {@code docs/events.md}
     * @param message fixed sentence
     * @param fields alternating names and values
     */
    public void info(String id, String message, Object... fields) {
        if (logger.isInfoEnabled()) {
            logger.info(format(id, message, fields));
        }
    }

    /**
     * Logs an event that an operator should know about.
     *
     * @param id identifier listed in {@code docs/events.md}
     * @param message fixed sentence
     * @param fields alternating names and values
     */
    public void warn(String id, String message, Object... fields) {
        logger.warn(format(id, message, fields));
    }

    /**
     * Logs a failure that the process did not expect or cannot correct.
     *
     * @param id identifier listed in {@code docs/events.md}
     * @param cause exception whose stack trace is logged, or {@code null} for none
     * @param message fixed sentence
     * @param fields alternating names and values
     */
    public void error(String id, Throwable cause, String message, Object... fields) {
        logger.error(format(id, message, fields), cause);
    }

    static String format(String id, String message, Object... fields) {
        if (!ID.matcher(id).matches()) {
            throw new IllegalArgumentException(
                    "event identifier must be SAP and four digits but is " + id);
        }
        if (fields.length % 2 != 0) {
            throw new IllegalArgumentException("each field needs a name and a value: " + id);
        }
        StringBuilder line = new StringBuilder(id).append(' ').append(message);
        if (fields.length > 0) {
            line.append(" {");
            for (int i = 0; i < fields.length; i += 2) {
                line.append(i == 0 ? "" : ",");
                appendQuoted(line, String.valueOf(fields[i]));
                line.append(':');
                appendValue(line, fields[i + 1]);
            }
            line.append('}');
        }
        return line.toString();
    }

    private static void appendValue(StringBuilder line, Object value) {
        if (value instanceof OptionalLong number) {
            appendValue(line, number.isPresent() ? number.getAsLong() : "");
        } else if (value instanceof Integer || value instanceof Long || value instanceof Boolean) {
            line.append(value);
        } else {
            appendQuoted(line, String.valueOf(value));
        }
    }

    private static void appendQuoted(StringBuilder line, String text) {
        line.append('"');
        JsonStringEncoder.getInstance().quoteAsString(text, line);
        line.append('"');
    }
}
