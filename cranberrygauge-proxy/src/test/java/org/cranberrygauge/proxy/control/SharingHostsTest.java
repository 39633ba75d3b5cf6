package org.cranberrygauge.proxy.control;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against hosts that share a budget as if others were gone that only can't be heard (incident BUDGET). */
class SharingHostsTest {

    private final SharingHosts hosts = new SharingHosts();

    @Test
    void theNumberIsNotKnownBeforeTheListOfHostsHasBeenRead() {
        assertThat(hosts.count(0)).isZero();
        hosts.recordHeard(10, "host-2");
        assertThat(hosts.count(20)).isZero();
        hosts.recordListRead();
        assertThat(hosts.count(20)).isEqualTo(2);
    }

    @Test
    void aHostThatFellSilentCountsForTenMinutes() {
        hosts.recordListRead();
        hosts.recordHeard(0, "host-2");
        hosts.recordHeard(0, "host-3");
        hosts.recordHeard(500_000, "host-3");
        assertThat(hosts.count(600_000)).isEqualTo(3);
        assertThat(hosts.count(600_001)).isEqualTo(2);
    }

    @Test
    void aHostThatWasNeverHeardCountsForAMinute() {
        hosts.recordListed(0, "host-2");
        hosts.recordListed(0, "gone");
        hosts.recordListRead();
        hosts.recordHeard(100, "host-2");
        assertThat(hosts.count(60_000)).isEqualTo(3);
        assertThat(hosts.count(60_001)).isEqualTo(2);
    }

    @Test
    void allListedHostsCountForAHostThatHearsNobody() {
        hosts.recordListed(0, "host-2");
        hosts.recordListed(0, "host-3");
        hosts.recordListRead();
        assertThat(hosts.count(3_600_000)).isEqualTo(3);
    }
}
