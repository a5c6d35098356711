package io.sapphirestack.core.quarantine;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** Binary format of crash reports. */
final class CrashReportCodec implements EvidenceCodec<CrashReport> {

    private static final int FIXED_BYTES =
            Integer.BYTES + 2 * Long.BYTES + Short.BYTES + Byte.BYTES;

    @Override
    public int sizeBytes(CrashReport report) {
        return FIXED_BYTES + report.parts().size() * Long.BYTES;
    }

    @Override
    public void write(ByteBuffer out, CrashReport report) {
        out.putInt(report.endpointHandle());
        out.putLong(report.sentAtMs());
        out.putLong(report.observedAtMs());
        out.putShort(report.clearedBits());
        out.put((byte) report.parts().size());
        report.parts().forEach(out::putLong);
    }

    @Override
    public CrashReport read(ByteBuffer in) {
        int endpointHandle = in.getInt();
        long sentAtMs = in.getLong();
        long observedAtMs = in.getLong();
        short clearedBits = in.getShort();
        int partCount = in.get();
        if (partCount < 0 || partCount > CrashReport.MAX_PARTS) {
            throw new IllegalArgumentException("a crash report has " + partCount + " parts");
        }
        List<Long> parts = new ArrayList<>();
        for (int i = 0; i < partCount; i++) {
            parts.add(in.getLong());
        }
        return new CrashReport(endpointHandle, sentAtMs, observedAtMs, parts, clearedBits);
    }
}
