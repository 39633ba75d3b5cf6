package org.cranberrygauge.verification.faults;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class FreshnessSearchTest {

    private static final int DEPTH = 5;

    private static final int OURS = 0;
    private static final int MAJORITY = 1;
    private static final int NEVER_STOP = 3;

    @Test
    void the_cuts_are_all_partitions_with_all_sets_of_readers() {
        assertThat(NetworkPartition.all().stream()
                        .mapToInt(NetworkPartition::weight)
                        .sum())
                .isEqualTo(15 * 16);
    }

    @Test
    void no_order_of_events_admits_by_a_key_whose_withdrawal_was_accepted() {
        List<FreshnessRuleResult> harms =
                FreshnessPage.search(NetworkPartition.all(), FreshnessSearch.Declaration.DEAD_HOST, DEPTH);

        assertThat(harms.get(OURS).withdrawnAdmitted()).isZero();
        assertThat(harms.get(OURS).refusedWithoutNeed())
                .isLessThan(harms.get(MAJORITY).refusedWithoutNeed());
    }

    @Test
    void a_gateway_that_never_stops_admits_by_a_withdrawn_key_and_ours_does_not() {
        List<NetworkPartition> alone = NetworkPartition.all().stream()
                .filter(cut -> cut.logReaders() != 0 && cut.groups() > 0)
                .limit(6)
                .toList();
        List<FreshnessRuleResult> harms =
                FreshnessPage.search(alone, FreshnessSearch.Declaration.SILENCE_TO_ALL, DEPTH + 1);

        assertThat(harms.get(NEVER_STOP).withdrawnAdmitted()).isPositive();
        assertThat(harms.get(OURS).withdrawnAdmitted()).isZero();
    }
}
