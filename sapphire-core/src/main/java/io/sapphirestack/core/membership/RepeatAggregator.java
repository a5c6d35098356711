package io.sapphirestack.core.membership;

import io.sapphirestack.core.limit.RepeatTable;
import io.sapphirestack.core.limit.RepeatUse;
import java.nio.ByteBuffer;

/**
 * Sums the use of repeat budgets over the dissemination tree, with 14 bytes for each service whose
 * use changed. Not thread-safe.
 */
public final class RepeatAggregator extends AbstractChangeAggregator<RepeatUse> {

    private static final int MAX_INSTANCES = 0xffff;

    /** Creates an aggregator without use. */
    public RepeatAggregator() {
        super(RepeatUse.NONE, Short.BYTES + 2 * Integer.BYTES);
    }

    @Override
    RepeatUse read(ByteBuffer in) {
        return new RepeatUse(Short.toUnsignedInt(in.getShort()), in.getInt(), in.getInt());
    }

    @Override
    void write(ByteBuffer out, RepeatUse use) {
        out.putShort((short) Math.min(MAX_INSTANCES, use.instances()));
        out.putInt(use.requests());
        out.putInt(use.repeats());
    }

    @Override
    RepeatUse add(RepeatUse one, RepeatUse other) {
        return one.plus(other);
    }

    /** Returns the use by all other instances. */
    public RepeatTable others() {
        return new RepeatTable(sumExcept(null));
    }
}
