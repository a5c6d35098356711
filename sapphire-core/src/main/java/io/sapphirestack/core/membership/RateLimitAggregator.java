package io.sapphirestack.core.membership;

import io.sapphirestack.core.limit.RateLimitTable;
import java.nio.ByteBuffer;

/**
 * Collects the rate limits that endpoints named to the instances; of different values for one
 * endpoint the lowest is taken. Each changed endpoint takes 8 bytes in a message. Not thread-safe.
 */
public final class RateLimitAggregator extends AbstractChangeAggregator<Integer> {

    /** Value that marks an entry as removed. */
    private static final int NO_LIMIT = -1;

    /** Creates an aggregator without limits. */
    public RateLimitAggregator() {
        super(NO_LIMIT, Integer.BYTES);
    }

    @Override
    Integer read(ByteBuffer in) {
        return in.getInt();
    }

    @Override
    void write(ByteBuffer out, Integer milliPerS) {
        out.putInt(milliPerS);
    }

    @Override
    Integer add(Integer one, Integer other) {
        return Math.min(one, other);
    }

    /** Returns the limits that were named to other instances. */
    public RateLimitTable others() {
        return new RateLimitTable(sumExcept(null));
    }
}
