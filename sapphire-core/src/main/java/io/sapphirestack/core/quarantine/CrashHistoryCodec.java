package io.sapphirestack.core.quarantine;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** Binary format of crash histories. */
final class CrashHistoryCodec implements EvidenceCodec<CrashHistory> {

    private static final int FIXED_BYTES = 2 * Long.BYTES + Byte.BYTES;
    private static final int CRASH_BYTES = Integer.BYTES + 2 * Long.BYTES;

    @Override
    public int sizeBytes(CrashHistory history) {
        return FIXED_BYTES + history.crashes().size() * CRASH_BYTES;
    }

    @Override
    public void write(ByteBuffer out, CrashHistory history) {
        out.putLong(history.fingerprint());
        out.putLong(history.answeredAtMs());
        out.put((byte) history.crashes().size());
        for (CrashHistory.Crash crash : history.crashes()) {
            out.putInt(crash.endpointHandle());
            out.putLong(crash.sentAtMs());
            out.putLong(crash.observedAtMs());
        }
    }

    @Override
    public CrashHistory read(ByteBuffer in) {
        long fingerprint = in.getLong();
        long answeredAtMs = in.getLong();
        int count = in.get();
        if (count < 0 || count > CrashHistory.MAX_CRASHES) {
            throw new IllegalArgumentException("a crash history has " + count + " crashes");
        }
        List<CrashHistory.Crash> crashes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            crashes.add(new CrashHistory.Crash(in.getInt(), in.getLong(), in.getLong()));
        }
        return new CrashHistory(fingerprint, answeredAtMs, crashes);
    }
}
