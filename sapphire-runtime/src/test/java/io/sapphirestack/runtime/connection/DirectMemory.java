package io.sapphirestack.runtime.connection;

import java.lang.management.BufferPoolMXBean;
import java.lang.management.ManagementFactory;

/**
 * Direct memory of the virtual machine, in which the JDK keeps buffers for each thread with I/O.
 */
public final class DirectMemory {

    private DirectMemory() {}

    /** Returns the direct memory in use, in bytes. */
    public static long usedBytes() {
        return ManagementFactory.getPlatformMXBeans(BufferPoolMXBean.class).stream()
                .filter(pool -> pool.getName().equals("direct"))
                .mapToLong(BufferPoolMXBean::getMemoryUsed)
                .sum();
    }
}
