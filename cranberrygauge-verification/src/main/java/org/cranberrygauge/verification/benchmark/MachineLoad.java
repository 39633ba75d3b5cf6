package org.cranberrygauge.verification.benchmark;

import java.lang.management.ManagementFactory;
import java.util.Locale;

/** Describes the load of the machine, for the pages of benchmarks. */
final class MachineLoad {

    private MachineLoad() {}

    /** Returns a sentence with the load average over the last minute and the number of cores. */
    static String describe() {
        return String.format(
                Locale.ROOT,
                "Load average of the machine over the last minute of the run: %.1f on %d cores.",
                ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage(),
                Runtime.getRuntime().availableProcessors());
    }
}
