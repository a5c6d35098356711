package io.sapphirestack.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against requests that block because the log output blocks, and against a log without a
 * rate limit.
 */
@Timeout(20)
class BoundedLogHandlerTests {

    private static LogRecord logRecord(int number) {
        return new LogRecord(Level.INFO, "SAP1201 line {\"number\":" + number + "}");
    }

    @Test
    void linesBeyondTheRateLimitAreDroppedAndCounted() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        AtomicLong nowMs = new AtomicLong(10_000);
        AtomicLong reportedDrops = new AtomicLong();
        PrintStream out = new PrintStream(bytes, false, StandardCharsets.UTF_8);
        BoundedLogHandler handler =
                new BoundedLogHandler(out, nowMs::get, reportedDrops::addAndGet);
        int linesBeyondLimit = 20;
        for (int i = 0; i < BoundedLogHandler.MAX_LINES_PER_S + linesBeyondLimit; i++) {
            handler.publish(logRecord(i));
        }
        nowMs.addAndGet(1_000);
        handler.publish(logRecord(-1));
        handler.flush();
        String text = bytes.toString(StandardCharsets.UTF_8);
        assertThat(text.lines().filter(l -> l.contains("SAP1201")).count())
                .isEqualTo(BoundedLogHandler.MAX_LINES_PER_S + 1L);
        assertThat(reportedDrops.get()).isEqualTo(linesBeyondLimit);
    }

    /** Two accounts must not become one in the log, whatever the charset of the process is. */
    @Test
    void namesOutsideOfAsciiAreWrittenAsUtf8() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        BoundedLogHandler handler =
                new BoundedLogHandler(DaemonLogManager.outputOf(bytes), () -> 0, dropped -> {});

        handler.publish(new LogRecord(Level.INFO, "SAP1201 line {\"account\":\"k\u025bse\"}"));
        handler.flush();

        assertThat(bytes.toString(StandardCharsets.UTF_8)).contains("\"k\u025bse\"");
    }

    /** A line that cannot be written must not end the log of the process. */
    @Test
    void linesAreWrittenAfterOneThatFailed() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        AtomicLong failures = new AtomicLong(1);
        PrintStream out =
                new PrintStream(bytes, false, StandardCharsets.UTF_8) {
                    @Override
                    public void print(String text) {
                        if (failures.getAndDecrement() > 0) {
                            throw new IllegalStateException("simulated");
                        }
                        super.print(text);
                    }
                };
        AtomicLong nowMs = new AtomicLong(10_000);
        AtomicLong reportedDrops = new AtomicLong();
        BoundedLogHandler handler =
                new BoundedLogHandler(out, nowMs::get, reportedDrops::addAndGet);

        handler.publish(logRecord(1));
        handler.publish(logRecord(2));

        handler.flush();
        assertThat(bytes.toString(StandardCharsets.UTF_8)).contains("\"number\":2");
        assertThat(reportedDrops.get()).isEqualTo(1);
    }

    @Test
    void publishDoesNotBlockWhenTheOutputBlocks() {
        CountDownLatch outputReleased = new CountDownLatch(1);
        PrintStream blocked =
                new PrintStream(new ByteArrayOutputStream()) {
                    @Override
                    public void print(String text) {
                        try {
                            outputReleased.await();
                        } catch (InterruptedException e) {
                            Thread.currentThread().interrupt();
                        }
                    }
                };
        AtomicLong nowMs = new AtomicLong();
        BoundedLogHandler handler = new BoundedLogHandler(blocked, nowMs::get, count -> {});
        for (int second = 0; second < 10; second++) {
            nowMs.addAndGet(1_000);
            for (int i = 0; i < BoundedLogHandler.MAX_LINES_PER_S; i++) {
                handler.publish(logRecord(i));
            }
        }
        outputReleased.countDown();
    }
}
