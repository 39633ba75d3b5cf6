package org.cranberrygauge.decision.fairness;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards the usage by which customers are ordered: on a host alone, after a restart, and when reports stop. */
class CustomerUseTest {

    private final CustomerUse use = new CustomerUse();

    @Test
    void usageDecaysWithinSomeSeconds() {
        use.record(0, "a", 1_000);
        assertThat(use.of(5_000, "a")).isCloseTo(1_000 / Math.E, within(1.0));
        assertThat(use.of(60_000, "a")).isLessThan(1);
    }

    @Test
    void theUsageOfTheFleetIsTheSumOfAllHosts() {
        use.record(0, "a", 1_000);
        use.merge(0, "h2", Map.of("a", 300L));
        use.merge(0, "h3", Map.of("a", 30L, "b", 5L));
        assertThat(use.of(0, "a")).isEqualTo(1_330);
        assertThat(use.of(0, "b")).isEqualTo(5);
    }

    @Test
    void aReportReplacesTheEarlierOneOfItsHost() {
        use.merge(0, "h2", Map.of("a", 300L));
        use.merge(200, "h2", Map.of("a", 310L));
        assertThat(use.of(200, "a")).isEqualTo(310);
    }

    @Test
    void aHostReportsOnlyWhatItGaveItself() {
        use.record(0, "a", 1_000);
        use.merge(0, "h2", Map.of("a", 300L, "b", 400L));
        assertThat(use.report(0, CustomerUse.MAXIMUM_REPORTED)).isEqualTo(Map.of("a", 1_000L));
    }

    @Test
    void onlyTheCustomersWithTheMostUsageAreReported() {
        for (int number = 1; number <= 40; number++) {
            use.record(0, "c" + number, number);
        }
        assertThat(use.report(0, 2)).isEqualTo(Map.of("c40", 40L, "c39", 39L));
    }

    @Test
    void aHostThatHearsNoReportsUsesItsOwnFigures() {
        use.record(0, "a", 1_000);
        use.merge(0, "h2", Map.of("b", 9_000L));
        assertThat(use.of(CustomerUse.VALIDITY_MILLIS - 1, "b")).isPositive();
        assertThat(use.of(CustomerUse.VALIDITY_MILLIS, "b")).isZero();
        assertThat(use.of(CustomerUse.VALIDITY_MILLIS, "a")).isPositive();
    }

    @Test
    void aHostThatRestartsBeginsWithTheFiguresOfTheOthers() {
        use.record(0, "a", 1_000);
        CustomerUse restarted = new CustomerUse();
        restarted.merge(0, "h1", use.report(0, CustomerUse.MAXIMUM_REPORTED));
        assertThat(restarted.of(0, "a")).isEqualTo(1_000);
        assertThat(restarted.report(0, CustomerUse.MAXIMUM_REPORTED)).isEmpty();
    }

    @Test
    void aFaultyReportNeitherLowersUsageNorGrowsTheTable() {
        use.record(0, "a", 10);
        Map<String, Long> reported = new HashMap<>();
        for (int number = 0; number < 1_000; number++) {
            reported.put("c" + number, 1L);
        }
        reported.put("a", -50L);
        use.merge(0, "h2", reported);
        assertThat(use.of(0, "a")).isEqualTo(10);
        assertThat(reported.keySet().stream().filter(customer -> use.of(0, customer) == 1))
                .hasSize(CustomerUse.MAXIMUM_REPORTED);
    }
}
