package io.sapphirestack.core.membership;

import io.sapphirestack.core.limit.RepeatTable;
import io.sapphirestack.core.limit.RepeatUse;
import java.nio.ByteBuffer;

/**
 * Sums the use of retry budgets per service over the dissemination tree. Each changed service takes
 * 14 bytes in a message. Not thread-safe.
 */
public final class RetryBudgetAggregator extends AbstractChangeAggregator<RepeatUse> {

    private static final int MAX_INSTANCES = 0xffff;

    /** Creates an aggregator without any use. */
    public RetryBudgetAggregator() {
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

    /** Returns the use of retry budgets by all other instances. */
    public RepeatTable others() {
        return new RepeatTable(sumExcept(null));
    }
}
