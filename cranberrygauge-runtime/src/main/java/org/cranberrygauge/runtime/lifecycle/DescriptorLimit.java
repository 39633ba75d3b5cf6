package org.cranberrygauge.runtime.lifecycle;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;

/** The limit on the file descriptors of this process. Stateless and thread-safe. */
public final class DescriptorLimit {

    /** The limit that is assumed where the operating system tells none. */
    private static final long ASSUMED = 1_024;

    private DescriptorLimit() {}

    /** Returns the number of file descriptors that the operating system lets this process open. */
    public static long ofProcess() {
        return ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean system
                ? system.getMaxFileDescriptorCount()
                : ASSUMED;
    }
}
