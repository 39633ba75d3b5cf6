package org.cranberrygauge.proxy.leader;

import static org.assertj.core.api.Assertions.assertThat;

import org.cranberrygauge.proxy.store.SharedLog.GroupAssignment;
import org.junit.jupiter.api.Test;

class LeaderLeaseTest {

    private static final long WALL = 1_000_000;

    private final LeaderLease lease = new LeaderLease(0, 3_000, 2_600);

    @Test
    void aNewProcessWaitsForALeaseAndThenActsWithTheGeneration() {
        join(1_000, 5, true);
        assertThat(token(2_000)).isEqualTo(-1);
        join(3_000, 5, true);
        assertThat(token(3_000)).isEqualTo(5);
    }

    @Test
    void aHolderActsOnlyWhileItsLastJoinIsRecent() {
        join(10_000, 5, true);
        assertThat(token(12_599)).isEqualTo(5);
        assertThat(token(12_600)).isEqualTo(-1);
    }

    @Test
    void aHostThatWasSuspendedDoesNotAct() {
        join(10_000, 5, true);
        assertThat(lease.token(10_010, WALL + 15_000)).isEmpty();
    }

    @Test
    void aHostThatLostTheDutiesActsAgainOnlyALeaseAfterItsLastAct() {
        join(10_000, 5, true);
        lease.acted(10_100);
        join(10_900, 6, false);
        assertThat(token(10_900)).isEqualTo(-1);
        join(11_800, 7, true);
        assertThat(token(11_800)).isEqualTo(-1);
        join(13_100, 7, true);
        assertThat(token(13_100)).isEqualTo(7);
    }

    @Test
    void anotherHostActsAtOnceWhenItTakesTheDuties() {
        join(10_000, 5, false);
        join(10_900, 6, true);
        assertThat(token(10_900)).isEqualTo(6);
    }

    @Test
    void aRefusedTokenIsNeverUsedAgain() {
        join(10_000, 5, true);
        lease.refused(5);
        assertThat(token(10_001)).isEqualTo(-1);
        join(10_900, 6, true);
        assertThat(token(10_900)).isEqualTo(6);
    }

    private void join(long now, long generation, boolean holds) {
        lease.joined(now, WALL + now, new GroupAssignment(generation, holds));
    }

    private long token(long now) {
        return lease.token(now, WALL + now).orElse(-1);
    }
}
