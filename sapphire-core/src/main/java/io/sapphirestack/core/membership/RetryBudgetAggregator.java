package io.sapphirestack.core.membership;

import io.sapphirestack.core.limit.RetryUsage;
import io.sapphirestack.core.limit.RetryUsageTable;
import java.nio.ByteBuffer;

/**
 * Sums the usage of retry budgets per service over the dissemination tree. Each changed service
 * takes 14 bytes in a message. Not thread-safe.
 */
public final class RetryBudgetAggregator extends AbstractChangeAggregator<RetryUsage> {

    private static final int MAX_INSTANCES = 0xffff;

    /** Creates an aggregator without any usage. */
    public RetryBudgetAggregator() {
        super(RetryUsage.NONE, Short.BYTES + 2 * Integer.BYTES);
    }

    @Override
    RetryUsage read(ByteBuffer in) {
        return new RetryUsage(Short.toUnsignedInt(in.getShort()), in.getInt(), in.getInt());
    }

    @Override
    void write(ByteBuffer out, RetryUsage usage) {
        out.putShort((short) Math.min(MAX_INSTANCES, usage.instances()));
        out.putInt(usage.requests());
        out.putInt(usage.retries());
    }

    @Override
    RetryUsage add(RetryUsage one, RetryUsage other) {
        return one.plus(other);
    }

    /** Returns the usage of retry budgets by all other instances. */
    public RetryUsageTable others() {
        return new RetryUsageTable(sumExcept(null));
    }
}
