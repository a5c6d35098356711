package io.sapphirestack.core.membership;

import io.sapphirestack.core.version.VersionCounts;
import io.sapphirestack.core.version.VersionCountsTable;
import java.nio.ByteBuffer;

/**
 * Sums the counts of responses during rollouts over the dissemination tree. Each changed window and
 * route takes 16 bytes in a message; without a rollout there is none. Not thread-safe.
 */
public final class VersionCountsAggregator extends AbstractChangeAggregator<VersionCounts> {

    private static final int COUNTS = 6;
    private static final int MAX_COUNT = 0xffff;

    /** Creates an aggregator without counts. */
    public VersionCountsAggregator() {
        super(VersionCounts.NONE, COUNTS * Short.BYTES);
    }

    @Override
    VersionCounts read(ByteBuffer in) {
        return new VersionCounts(
                readCount(in),
                readCount(in),
                readCount(in),
                readCount(in),
                readCount(in),
                readCount(in));
    }

    @Override
    void write(ByteBuffer out, VersionCounts counts) {
        writeCount(out, counts.oldRequests());
        writeCount(out, counts.oldFailures());
        writeCount(out, counts.oldSlow());
        writeCount(out, counts.newRequests());
        writeCount(out, counts.newFailures());
        writeCount(out, counts.newSlow());
    }

    private static int readCount(ByteBuffer in) {
        return Short.toUnsignedInt(in.getShort());
    }

    private static void writeCount(ByteBuffer out, int count) {
        out.putShort((short) Math.min(MAX_COUNT, count));
    }

    @Override
    VersionCounts add(VersionCounts one, VersionCounts other) {
        return one.plus(other);
    }

    /** Returns the counts of all other instances. */
    public VersionCountsTable others() {
        return new VersionCountsTable(sumExcept(null));
    }
}
