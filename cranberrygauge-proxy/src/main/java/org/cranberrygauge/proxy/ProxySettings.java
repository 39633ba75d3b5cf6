package org.cranberrygauge.proxy;

import java.util.Map;
import org.cranberrygauge.model.backend.NetworkAddress;

/**
 * The settings of a proxy process.
 *
 * @param host The name of the host.
 * @param dataCentre The data centre of the host.
 * @param regions The region of each data centre, by the name of the data centre.
 * @param front The address for callers.
 * @param status The address for the load balancer and for metrics.
 * @param peers The address for messages of other hosts.
 * @param readyPath The path of the readiness endpoint.
 * @param firstStart Whether the whole system starts for the first time, so that no request was served before.
 * @param maximumDescriptors The number of file descriptors that the process may have open.
 * @param times The time limits and bounds.
 */
public record ProxySettings(
        String host,
        String dataCentre,
        Map<String, String> regions,
        NetworkAddress front,
        NetworkAddress status,
        NetworkAddress peers,
        String readyPath,
        boolean firstStart,
        long maximumDescriptors,
        Times times) {

    public ProxySettings {
        regions = Map.copyOf(regions);
    }

    /**
     * Time limits and bounds.
     *
     * @param keyWithdrawalMillis The time within which a withdrawn key must be rejected, in milliseconds.
     * @param configurationMillis The time within which a new configuration must be in force, in milliseconds.
     * @param leavingMillis The time within which a draining backend server must get no more requests, in milliseconds.
     * @param graceMillis The time for a graceful shutdown in milliseconds.
     * @param leaseMillis The time after which a previous leader has certainly stopped, in milliseconds.
     * @param usageWindowMillis The length of a usage window in milliseconds.
     * @param logRetentionMillis The time for which the shared log retains records, in milliseconds; 0 if it is not stated.
     * @param retryWindowMillis The length of the window of the retry budget in milliseconds.
     * @param retryRatio The retries allowed for each request.
     * @param retryAllowance The retries allowed in addition in each window, for all hosts together.
     * @param entryExpiryMillis The shortest outage of the shared log in which entries of running backend servers expire, in
     *     milliseconds.
     */
    public record Times(
            long keyWithdrawalMillis,
            long configurationMillis,
            long leavingMillis,
            long graceMillis,
            long leaseMillis,
            long usageWindowMillis,
            long logRetentionMillis,
            long retryWindowMillis,
            double retryRatio,
            double retryAllowance,
            long entryExpiryMillis) {}
}
