package org.cranberrygauge.proxy;

import org.cranberrygauge.model.backend.NetworkAddress;

/**
 * What a process of the proxy is told at its start.
 *
 * @param host The name of the host.
 * @param dataCentre The data centre of the host.
 * @param front The address for callers.
 * @param status The address for the balancer and for metrics.
 * @param peers The address for reports of other hosts.
 * @param readyPath The path that the balancer asks.
 * @param times The times and bounds.
 */
public record ProxySettings(
        String host,
        String dataCentre,
        NetworkAddress front,
        NetworkAddress status,
        NetworkAddress peers,
        String readyPath,
        Times times) {

    /**
     * Times and bounds.
     *
     * @param keyWithdrawalMillis The time within which a withdrawn key must stop working, in milliseconds.
     * @param configurationMillis The time within which a configuration must be in force, in milliseconds.
     * @param leavingMillis The time within which a leaving backend server must get no more requests, in milliseconds.
     * @param graceMillis The time for an orderly stop in milliseconds.
     * @param leaseMillis The time after which an earlier holder of duties has surely stopped, in milliseconds.
     * @param usageWindowMillis The length of a usage window in milliseconds.
     * @param retryWindowMillis The window of the budget of repeats in milliseconds.
     * @param retryRatio The repeats allowed for each request.
     * @param retryAllowance The repeats allowed besides, for all hosts together.
     */
    public record Times(
            long keyWithdrawalMillis,
            long configurationMillis,
            long leavingMillis,
            long graceMillis,
            long leaseMillis,
            long usageWindowMillis,
            long retryWindowMillis,
            double retryRatio,
            double retryAllowance) {}
}
