package io.sapphirestack.core.quarantine;

import io.sapphirestack.core.id.InstanceId;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Messages that bring crash reports to the neighbours in the dissemination tree. Each instance
 * passes on every report that is new to it. A report may arrive several times, so messages are
 * applied whatever tree the sender uses. Not thread-safe.
 */
public final class CrashReportExchange {

    private static final int FIXED_BYTES =
            Integer.BYTES + 2 * Long.BYTES + Short.BYTES + Byte.BYTES;

    private final CrashReportTable reports;
    private final Map<InstanceId, Long> sentVersions = new HashMap<>();

    /**
     * Creates an exchange.
     *
     * @param reports reports that are sent and to which received ones are added
     */
    public CrashReportExchange(CrashReportTable reports) {
        this.reports = Objects.requireNonNull(reports, "reports");
    }

    /**
     * Encodes the reports that changed since the last message to a neighbour.
     *
     * @param neighbour neighbour
     * @return message, empty if there is nothing to send
     */
    public byte[] encodeFor(InstanceId neighbour) {
        long sentVersion = sentVersions.getOrDefault(neighbour, 0L);
        long version = reports.version();
        if (version == sentVersion) {
            return new byte[0];
        }
        List<CrashReport> changed = reports.changedSince(sentVersion);
        sentVersions.put(neighbour, version);
        int partCount = changed.stream().mapToInt(report -> report.parts().size()).sum();
        ByteBuffer out = ByteBuffer.allocate(changed.size() * FIXED_BYTES + partCount * Long.BYTES);
        changed.forEach(report -> write(out, report));
        return out.array();
    }

    private static void write(ByteBuffer out, CrashReport report) {
        out.putInt(report.endpointHandle());
        out.putLong(report.sentAtMs());
        out.putLong(report.observedAtMs());
        out.putShort(report.clearedBits());
        out.put((byte) report.parts().size());
        report.parts().forEach(out::putLong);
    }

    /**
     * Adds the reports of a message to the table.
     *
     * @param encoded message, possibly empty
     * @throws IllegalArgumentException if the message is malformed
     */
    public void receive(byte[] encoded) {
        if (encoded.length == 0) {
            return;
        }
        ByteBuffer in = ByteBuffer.wrap(encoded);
        List<CrashReport> received = new ArrayList<>();
        try {
            while (in.hasRemaining()) {
                received.add(read(in));
            }
        } catch (BufferUnderflowException e) {
            throw new IllegalArgumentException(
                    "truncated crash report in a message of " + encoded.length + " bytes", e);
        }
        reports.merge(received);
    }

    private static CrashReport read(ByteBuffer in) {
        int endpointHandle = in.getInt();
        long sentAtMs = in.getLong();
        long observedAtMs = in.getLong();
        short clearedBits = in.getShort();
        int partCount = in.get();
        if (partCount < 0 || partCount > PromptParts.MAX_PARTS) {
            throw new IllegalArgumentException("a crash report has " + partCount + " parts");
        }
        List<Long> parts = new ArrayList<>();
        for (int i = 0; i < partCount; i++) {
            parts.add(in.getLong());
        }
        return new CrashReport(endpointHandle, sentAtMs, observedAtMs, parts, clearedBits);
    }

    /**
     * Makes the next message to a neighbour contain all reports.
     *
     * @param neighbour neighbour that may have missed a message
     */
    public void sendAllNext(InstanceId neighbour) {
        sentVersions.remove(neighbour);
    }

    /** Makes the next message to each neighbour contain all reports; for a changed tree. */
    public void sendAllNext() {
        sentVersions.clear();
    }
}
