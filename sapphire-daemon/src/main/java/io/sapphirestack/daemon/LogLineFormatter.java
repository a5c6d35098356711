package io.sapphirestack.daemon;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.logging.Formatter;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Formats each log record as one line of JSON with the time, the level, the event identifier, the
 * message and the fields of the event. Thread-safe.
 */
public final class LogLineFormatter extends Formatter {

    private static final DateTimeFormatter TIME =
            DateTimeFormatter.ofPattern("uuuu-MM-dd'T'HH:mm:ss.SSS'Z'").withZone(ZoneOffset.UTC);

    // An event is its identifier, its message and, optionally, its fields as a JSON object.
    private static final Pattern EVENT =
            Pattern.compile("^(SAP[0-9]{4}):? (.*?)(?: \\{(\".*)\\})?$", Pattern.DOTALL);

    @Override
    public String format(LogRecord record) {
        String message = formatMessage(record);
        Matcher event = EVENT.matcher(message);
        boolean isEvent = event.matches();
        StringBuilder line = new StringBuilder("{");
        append(line, "timeUtc", TIME.format(Instant.ofEpochMilli(record.getMillis())));
        append(line.append(','), "level", level(record.getLevel()));
        append(line.append(','), "event", isEvent ? event.group(1) : "");
        append(line.append(','), "message", isEvent ? event.group(2) : message);
        if (isEvent && event.group(3) != null) {
            line.append(',').append(event.group(3));
        }
        if (record.getThrown() != null) {
            append(line.append(','), "thrown", stackTrace(record.getThrown()));
        }
        return line.append("}\n").toString();
    }

    private static void append(StringBuilder line, String name, String value) {
        line.append('"').append(name).append("\":\"");
        JsonStringEncoder.getInstance().quoteAsString(value, line);
        line.append('"');
    }

    private static String level(Level level) {
        if (level.intValue() >= Level.SEVERE.intValue()) {
            return "ERROR";
        }
        if (level.intValue() >= Level.WARNING.intValue()) {
            return "WARN";
        }
        return level.intValue() >= Level.INFO.intValue() ? "INFO" : "DEBUG";
    }

    private static String stackTrace(Throwable thrown) {
        StringWriter text = new StringWriter();
        thrown.printStackTrace(new PrintWriter(text));
        return text.toString().trim();
    }
}
