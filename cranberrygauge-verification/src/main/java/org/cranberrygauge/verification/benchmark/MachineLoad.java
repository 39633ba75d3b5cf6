package org.cranberrygauge.verification.benchmark;

import java.lang.management.ManagementFactory;
import java.util.Locale;

/** Says how busy the machine is, for the pages of benchmarks. */
final class MachineLoad {

    /** Prevents instances. */
    private MachineLoad() {}

    /**
     * Describes the load of the machine.
     *
     * @return A sentence with the mean number of runnable threads over the last minute and the number of cores.
     */
    static String describe() {
        return String.format(
                Locale.ROOT,
                "Load average of the machine over the last minute of the run: %.1f on %d cores.",
                ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage(),
                Runtime.getRuntime().availableProcessors());
    }
}
