package org.cranberrygauge.proxy.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cranberrygauge.decision.connection.ConnectionLimits;
import org.cranberrygauge.proxy.configuration.CallerLimits;
import org.cranberrygauge.proxy.configuration.ProxyConfiguration;
import org.junit.jupiter.api.Test;

class IngressLimitsTest {

    private static final int DESCRIPTORS = 2_212;

    /** The time between two looks of a host at the connections that it keeps to others, in milliseconds. */
    private static final long POOL_CHECK_MILLIS = 1_000;

    private final IngressLimits limits = new IngressLimits(DESCRIPTORS);

    /** Guards against a request that is lost as the host to which it is passed on closes the kept connection. */
    @Test
    void aHostKeepsTheConnectionsOfOtherHostsForLongerThanTheseKeepThem() {
        long keptMillis = TimeUnit.SECONDS.toMillis(BackendClient.KEEP_ALIVE_SECONDS) + POOL_CHECK_MILLIS;
        assertThat(limits.hosts().idleMillis()).isGreaterThan(2 * keptMillis);
    }

    @Test
    void theTimeoutsForCallersAreThoseOfTheConfigurationInForce() {
        ProxyConfiguration configuration =
                new ProxyConfiguration(1, List.of(), Map.of(), new CallerLimits(1_000, 4_000, 2_000), Map.of(), false);
        ConnectionLimits callers = limits.callers(Optional.of(configuration));
        assertThat(callers.idleMillis()).isEqualTo(4_000);
        assertThat(callers.headMillis()).isEqualTo(2_000);
        assertThat(limits.callers(Optional.empty()).idleMillis()).isEqualTo(CallerLimits.STANDARD.idleMillis());
    }

    @Test
    void allThatAHostAcceptsLeavesDescriptorsForItsOwnConnections() {
        int accepted = limits.callers(Optional.empty()).hardMaximum()
                + limits.hosts().hardMaximum()
                + limits.status().hardMaximum();
        assertThat(accepted + limits.requests()).isLessThan(DESCRIPTORS - 200);
    }
}
