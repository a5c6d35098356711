package io.sapphirestack.core.membership;

import java.nio.ByteBuffer;

/**
 * Sums the work in flight per endpoint over the dissemination tree. Each changed endpoint takes 6
 * bytes in a message. Not thread-safe.
 */
public final class InFlightAggregator extends AbstractChangeAggregator<Integer> {
    /**
     * Maximum number of endpoints for which work in flight is disseminated. With more, the changes
     * alone would exceed the traffic budget, and only the reports of the endpoints give their load.
     */
    public static final int MAX_ENDPOINTS = 100;

    private static final int MAX_IN_FLIGHT = 0xffff;

    /** Creates an aggregator without work in flight. */
    public InFlightAggregator() {
        super(0, Short.BYTES);
    }

    @Override
    Integer read(ByteBuffer in) {
        return Short.toUnsignedInt(in.getShort());
    }

    @Override
    void write(ByteBuffer out, Integer weight) {
        out.putShort((short) Math.min(MAX_IN_FLIGHT, weight));
    }

    @Override
    Integer add(Integer one, Integer other) {
        return one + other;
    }

    /** Returns the work in flight of all other instances. */
    public InFlightTable others() {
        return new InFlightTable(true, sumExcept(null));
    }
}
