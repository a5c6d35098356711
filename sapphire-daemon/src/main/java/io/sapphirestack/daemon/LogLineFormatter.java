package io.sapphirestack.daemon;

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
 * Writes one line per event: time, level, event identifier, message with its fields. Thread-safe.
 */
public final class LogLineFormatter extends Formatter {

    private static final DateTimeFormatter TIME =
            DateTimeFormatter.ofPattern("uuuu-MM-dd'T'HH:mm:ss.SSS'Z'").withZone(ZoneOffset.UTC);
    private static final Pattern ID = Pattern.compile("^(SAP[0-9]{4}):? (.*)$", Pattern.DOTALL);

    @Override
    public String format(LogRecord record) {
        String message = formatMessage(record);
        Matcher matcher = ID.matcher(message);
        String id = matcher.matches() ? matcher.group(1) : "-";
        String text = matcher.matches() ? matcher.group(2) : message;
        StringBuilder line =
                new StringBuilder(TIME.format(Instant.ofEpochMilli(record.getMillis())))
                        .append(' ')
                        .append(level(record.getLevel()))
                        .append(' ')
                        .append(id)
                        .append(' ')
                        .append(oneLine(text));
        if (record.getThrown() != null) {
            line.append(" cause=\"").append(oneLine(stackTrace(record.getThrown()))).append('"');
        }
        return line.append('\n').toString();
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

    private static String oneLine(String text) {
        return text.replace("\r", "").replace("\n\t", " | ").replace('\n', ' ');
    }

    private static String stackTrace(Throwable thrown) {
        StringWriter text = new StringWriter();
        thrown.printStackTrace(new PrintWriter(text));
        return text.toString().trim();
    }
}
