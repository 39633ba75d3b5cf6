package org.cranberrygauge.proxy.control;

import org.cranberrygauge.proxy.ProxySettings;

/**
 * The times of usage reports.
 *
 * @param windowMillis The length of a usage window in milliseconds.
 * @param retentionMillis The time for which the shared log retains records, in milliseconds; 0 if it is not known.
 */
public record UsageTimes(long windowMillis, long retentionMillis) {

    /** Returns those of the settings of a host. */
    public static UsageTimes of(ProxySettings.Times times) {
        return new UsageTimes(times.usageWindowMillis(), times.logRetentionMillis());
    }
}
