package io.sapphirestack.core.membership;

import java.nio.ByteBuffer;

/**
 * Sums work in flight over the dissemination tree, as {@link UsageAggregator} does for usage, with
 * 6 bytes for each endpoint that changed. Not thread-safe.
 */
public final class InFlightAggregator extends AbstractChangeAggregator<Integer> {
    /**
     * Most endpoints for which work in flight is disseminated. Beyond it the changes alone would
     * exceed the traffic budget; the reports of the endpoints then have to do.
     */
    public static final int MAX_ENDPOINTS = 100;

    private static final int MAX_WORK = 0xffff;

    /** Creates an aggregator without work. */
    public InFlightAggregator() {
        super(0, Short.BYTES);
    }

    @Override
    Integer read(ByteBuffer in) {
        return Short.toUnsignedInt(in.getShort());
    }

    @Override
    void write(ByteBuffer out, Integer work) {
        out.putShort((short) Math.min(MAX_WORK, work));
    }

    @Override
    Integer add(Integer one, Integer other) {
        return one + other;
    }

    /** Returns the work of all other instances. */
    public InFlightTable others() {
        return new InFlightTable(true, sumExcept(null));
    }
}
