package org.cranberrygauge.proxy.exchange;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cranberrygauge.decision.connection.ConnectionLimits;
import org.cranberrygauge.decision.connection.DescriptorBudget;
import org.cranberrygauge.proxy.configuration.CallerLimits;
import org.cranberrygauge.proxy.configuration.ProxyConfiguration;

/** The limits on the connections that a host accepts. Immutable. */
final class IngressLimits {

    /**
     * The idle timeout for connections of other hosts; longer than theirs, so that they close a connection before this host
     * does while they send a request.
     */
    private static final long HOST_IDLE_MILLIS = TimeUnit.SECONDS.toMillis(3 * BackendClient.KEEP_ALIVE_SECONDS);

    private static final long HOST_HEAD_MILLIS = 5_000;

    /** The idle timeout of the status port; longer than the usual interval between two reads of metrics. */
    private static final long STATUS_IDLE_MILLIS = 120_000;

    private static final long STATUS_HEAD_MILLIS = 10_000;

    private static final int STATUS_CONNECTIONS = 64;

    private final DescriptorBudget budget;

    /** @param maximumDescriptors The number of file descriptors that the process may have open. */
    IngressLimits(long maximumDescriptors) {
        budget = DescriptorBudget.of(maximumDescriptors);
    }

    /** Returns the maximum number of requests in progress. */
    int requests() {
        return budget.requests();
    }

    /** @param configuration The configuration in force; empty if none is known. */
    ConnectionLimits callers(Optional<ProxyConfiguration> configuration) {
        CallerLimits limits = configuration.map(ProxyConfiguration::limits).orElse(CallerLimits.STANDARD);
        return new ConnectionLimits(limits.idleMillis(), limits.headMillis(), budget.callerConnections());
    }

    ConnectionLimits hosts() {
        return new ConnectionLimits(HOST_IDLE_MILLIS, HOST_HEAD_MILLIS, budget.hostConnections());
    }

    ConnectionLimits status() {
        return new ConnectionLimits(STATUS_IDLE_MILLIS, STATUS_HEAD_MILLIS, STATUS_CONNECTIONS);
    }
}
