package org.cranberrygauge.proxy.leader;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class PendingUsageCountsTest {

    private final PendingUsageCounts gathering = new PendingUsageCounts();

    @Test
    void takesTheCountsOfSeveralHostsAtOnce() {
        gathering.take(count("host-1", 7, 3));
        gathering.take(count("host-2", 7, 5));
        assertThat(gathering.takeChanged()).containsExactly(count("host-1", 7, 3), count("host-2", 7, 5));
    }

    @Test
    void writesAgainOnlyWhatRose() {
        gathering.take(count("host-1", 7, 3));
        gathering.takeChanged();
        gathering.take(count("host-1", 7, 3));
        assertThat(gathering.takeChanged()).isEmpty();
        gathering.take(count("host-1", 7, 4));
        assertThat(gathering.takeChanged()).containsExactly(count("host-1", 7, 4));
    }

    @Test
    void aDatagramThatComesLateLowersNothing() {
        gathering.take(count("host-1", 7, 4));
        gathering.take(count("host-1", 7, 3));
        assertThat(gathering.takeChanged()).containsExactly(count("host-1", 7, 4));
    }

    @Test
    void whatCouldNotBeWrittenIsTakenAgain() {
        gathering.take(count("host-1", 7, 4));
        List<UsageCount> taken = gathering.takeChanged();
        gathering.giveBack(taken);
        assertThat(gathering.takeChanged()).isEqualTo(taken);
    }

    @Test
    void remembersABoundedNumberOfWindows() {
        for (long window = 0; window < 40; window++) {
            gathering.take(count("host-1", window, 1));
        }
        assertThat(gathering.takeChanged()).hasSize(12).contains(count("host-1", 39, 1));
    }

    private static UsageCount count(String incarnation, long window, long number) {
        return new UsageCount(incarnation, window, Map.of("customer", number));
    }
}
