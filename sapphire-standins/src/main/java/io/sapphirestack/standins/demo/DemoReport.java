package io.sapphirestack.standins.demo;

import java.util.ArrayList;
import java.util.List;

/** Table of what was done, what had to hold and whether it held. Thread-safe. */
final class DemoReport {

    private final List<Line> lines = new ArrayList<>();

    synchronized void add(String done, String rule, boolean held, String measured) {
        lines.add(new Line(done, rule, held, measured));
        // Progress, so that a run that is interrupted shows how far it came.
        System.err.printf("%s: %s (%s)%n", done, held ? "held" : "DID NOT HOLD", measured);
    }

    synchronized boolean allHeld() {
        return !lines.isEmpty() && lines.stream().allMatch(Line::held);
    }

    @Override
    public synchronized String toString() {
        int doneWidth = lines.stream().mapToInt(line -> line.done().length()).max().orElse(1);
        int ruleWidth = lines.stream().mapToInt(line -> line.rule().length()).max().orElse(1);
        StringBuilder table = new StringBuilder();
        String format = "%-" + doneWidth + "s | %-" + ruleWidth + "s | %-4s | %s%n";
        table.append(String.format(format, "done", "had to hold", "held", "measured"));
        for (Line line : lines) {
            table.append(
                    String.format(
                            format,
                            line.done(),
                            line.rule(),
                            line.held() ? "yes" : "NO",
                            line.measured()));
        }
        return table.toString();
    }

    private record Line(String done, String rule, boolean held, String measured) {}
}
