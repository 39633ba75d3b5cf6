package org.cranberrygauge.proxy.leader;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class PendingUsageCountsTest {

    private final PendingUsageCounts pending = new PendingUsageCounts();

    @Test
    void mergesTheCountsOfSeveralHosts() {
        pending.merge(count("host-1", 7, 3));
        pending.merge(count("host-2", 7, 5));
        assertThat(pending.drainChanged()).containsExactly(count("host-1", 7, 3), count("host-2", 7, 5));
    }

    @Test
    void onlyIncreasedCountsAreDueAgain() {
        pending.merge(count("host-1", 7, 3));
        pending.drainChanged();
        pending.merge(count("host-1", 7, 3));
        assertThat(pending.drainChanged()).isEmpty();
        pending.merge(count("host-1", 7, 4));
        assertThat(pending.drainChanged()).containsExactly(count("host-1", 7, 4));
    }

    @Test
    void aLateDatagramLowersNoCount() {
        pending.merge(count("host-1", 7, 4));
        pending.merge(count("host-1", 7, 3));
        assertThat(pending.drainChanged()).containsExactly(count("host-1", 7, 4));
    }

    @Test
    void requeuedCountsAreDueAgain() {
        pending.merge(count("host-1", 7, 4));
        List<UsageCount> drained = pending.drainChanged();
        pending.requeue(drained);
        assertThat(pending.drainChanged()).isEqualTo(drained);
    }

    @Test
    void retainsABoundedNumberOfWindows() {
        for (long window = 0; window < 40; window++) {
            pending.merge(count("host-1", window, 1));
        }
        assertThat(pending.drainChanged()).hasSize(12).contains(count("host-1", 39, 1));
    }

    private static UsageCount count(String incarnation, long window, long number) {
        return new UsageCount(incarnation, window, Map.of("customer", number));
    }
}
