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
    void the_partitions_cover_all_groupings_with_all_sets_of_readers() {
        assertThat(NetworkPartition.all().stream()
                        .mapToInt(NetworkPartition::weight)
                        .sum())
                .isEqualTo(15 * 16);
    }

    @Test
    void no_sequence_of_events_admits_by_a_key_whose_withdrawal_was_accepted() {
        List<FreshnessRuleResult> results =
                FreshnessPage.search(NetworkPartition.all(), FreshnessSearch.RemovalRule.DEAD_HOST, DEPTH);

        assertThat(results.get(OURS).withdrawnAdmitted()).isZero();
        assertThat(results.get(OURS).refusedWithoutNeed())
                .isLessThan(results.get(MAJORITY).refusedWithoutNeed());
    }

    @Test
    void only_a_rule_that_never_stops_admits_by_a_withdrawn_key() {
        List<NetworkPartition> partitioned = NetworkPartition.all().stream()
                .filter(partition -> partition.logReaders() != 0 && partition.groups() > 0)
                .limit(6)
                .toList();
        List<FreshnessRuleResult> results =
                FreshnessPage.search(partitioned, FreshnessSearch.RemovalRule.SILENCE_TO_ALL, DEPTH + 1);

        assertThat(results.get(NEVER_STOP).withdrawnAdmitted()).isPositive();
        assertThat(results.get(OURS).withdrawnAdmitted()).isZero();
    }
}
