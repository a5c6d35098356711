package io.sapphirestack.cli;

import io.sapphirestack.core.objective.BurnStatus;
import io.sapphirestack.core.objective.BurnWindow;
import java.time.Instant;
import java.util.List;
import java.util.Locale;

/**
 * Renders the burn report as a self-contained HTML page with one table row and one bar chart per
 * objective.
 */
final class BurnPage {

    private static final int MAX_BAR_WIDTH_PX = 260;
    private static final int ROW_HEIGHT_PX = 18;
    private static final double FULL_SCALE_BURN_RATE = 20;
    private static final String STYLE =
            "body{font:14px sans-serif;margin:2em}table{border-collapse:collapse}"
                    + "td,th{padding:4px 10px;border-bottom:1px solid #ccc;text-align:left;vertical-align:top}"
                    + ".FAST{color:#b00020;font-weight:bold}.SLOW{color:#b06000;font-weight:bold}";

    private BurnPage() {}

    static String render(
            List<BurnStatus> lines, List<String> unresponsiveInstances, long completeSinceMs) {
        StringBuilder page = new StringBuilder();
        page.append(
                "<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>Service-level burn</title>");
        page.append("<style>")
                .append(STYLE)
                .append("</style></head><body><h1>Service-level burn</h1>");
        page.append("<p>Complete since ").append(Instant.ofEpochMilli(completeSinceMs));
        page.append(
                ". Counts from before the restart of an instance are not included. Instances that did not respond: ");
        page.append(
                        unresponsiveInstances.isEmpty()
                                ? "none"
                                : escapeHtml(String.join(", ", unresponsiveInstances)))
                .append(".</p><table><tr>");
        page.append(
                "<th>service</th><th>objective</th><th>target</th><th>good</th><th>bad</th><th>budget left</th>");
        page.append(
                "<th>burn rate by window (the line marks 1)</th><th>alert</th><th>causes</th></tr>");
        lines.forEach(line -> appendRow(page, line));
        return page.append("</table></body></html>\n").toString();
    }

    private static void appendRow(StringBuilder page, BurnStatus line) {
        page.append("<tr><td>").append(escapeHtml(line.service()));
        page.append("</td><td>").append(line.objective());
        page.append("</td><td>").append(line.target());
        page.append("</td><td>").append(line.good());
        page.append("</td><td>").append(line.bad());
        page.append("</td><td>")
                .append(String.format(Locale.ROOT, "%.1f%%", 100 * line.budgetLeft()));
        page.append("</td><td>").append(renderChart(line));
        page.append("</td><td class=\"").append(line.alert()).append("\">").append(line.alert());
        page.append("</td><td>");
        line.causes()
                .forEach(
                        (cause, count) ->
                                page.append(escapeHtml(cause))
                                        .append(": ")
                                        .append(count)
                                        .append("<br>"));
        page.append("</td></tr>");
    }

    private static String renderChart(BurnStatus line) {
        BurnWindow[] windows = BurnWindow.values();
        StringBuilder svg = new StringBuilder();
        svg.append(
                String.format(
                        Locale.ROOT,
                        "<svg width=\"%d\" height=\"%d\" xmlns=\"http://www.w3.org/2000/svg\">",
                        MAX_BAR_WIDTH_PX + 160,
                        windows.length * ROW_HEIGHT_PX));
        for (int i = 0; i < windows.length; i++) {
            double rate = line.burnRates().get(windows[i]);
            svg.append(
                    String.format(
                            Locale.ROOT,
                            "<rect x=\"60\" y=\"%d\" width=\"%.1f\" height=\"12\" fill=\"%s\"/>"
                                    + "<text x=\"0\" y=\"%d\" font-size=\"11\">%d min</text>"
                                    + "<text x=\"%.1f\" y=\"%d\" font-size=\"11\">%.2f</text>",
                            i * ROW_HEIGHT_PX + 2,
                            barWidth(rate),
                            rate > 1 ? "#b00020" : "#2e7d32",
                            i * ROW_HEIGHT_PX + 12,
                            windows[i].lengthMs() / 60_000,
                            64 + barWidth(rate),
                            i * ROW_HEIGHT_PX + 12,
                            rate));
        }
        double rateOneX = 60 + barWidth(1);
        svg.append(
                String.format(
                        Locale.ROOT,
                        "<line x1=\"%.1f\" y1=\"0\" x2=\"%.1f\" y2=\"%d\" stroke=\"#555\"/></svg>",
                        rateOneX,
                        rateOneX,
                        windows.length * ROW_HEIGHT_PX));
        return svg.toString();
    }

    private static double barWidth(double rate) {
        return MAX_BAR_WIDTH_PX * Math.min(rate, FULL_SCALE_BURN_RATE) / FULL_SCALE_BURN_RATE;
    }

    private static String escapeHtml(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }
}
