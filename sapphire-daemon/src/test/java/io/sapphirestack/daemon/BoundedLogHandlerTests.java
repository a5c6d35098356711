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

/** Guards against requests that wait for the log and against a log that grows without bound. */
@Timeout(20)
class BoundedLogHandlerTests {

    private static LogRecord line(int number) {
        return new LogRecord(Level.INFO, "SAP1201 line {\"number\":" + number + "}");
    }

    @Test
    void linesBeyondTheBoundAreDroppedAndCounted() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        AtomicLong nowMs = new AtomicLong(10_000);
        AtomicLong reported = new AtomicLong();
        PrintStream out = new PrintStream(bytes, false, StandardCharsets.UTF_8);
        BoundedLogHandler handler = new BoundedLogHandler(out, nowMs::get, reported::addAndGet);
        int extra = 20;
        for (int i = 0; i < BoundedLogHandler.MAX_LINES_PER_S + extra; i++) {
            handler.publish(line(i));
        }
        nowMs.addAndGet(1_000);
        handler.publish(line(-1));
        handler.flush();
        String text = bytes.toString(StandardCharsets.UTF_8);
        assertThat(text.lines().filter(l -> l.contains("SAP1201")).count())
                .isEqualTo(BoundedLogHandler.MAX_LINES_PER_S + 1L);
        assertThat(reported.get()).isEqualTo(extra);
    }

    @Test
    void outputThatBlocksHoldsNobodyUp() {
        CountDownLatch never = new CountDownLatch(1);
        PrintStream blocked =
                new PrintStream(new ByteArrayOutputStream()) {
                    @Override
                    public void print(String text) {
                        try {
                            never.await();
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
                handler.publish(line(i));
            }
        }
        never.countDown();
    }
}
