package org.cranberrygauge.proxy.leader;

import static org.assertj.core.api.Assertions.assertThat;

import org.cranberrygauge.proxy.store.SharedLog.GroupAssignment;
import org.cranberrygauge.proxy.store.StoreEra;
import org.junit.jupiter.api.Test;

class LeaderLeaseTest {

    private static final long WALL = 1_000_000;

    private final LeaderLease lease = new LeaderLease(0, 3_000, 2_600);

    @Test
    void aNewProcessWaitsForALeaseAndThenUsesTheGenerationAsToken() {
        join(1_000, 5, true);
        assertThat(fencingToken(2_000)).isEqualTo(-1);
        join(3_000, 5, true);
        assertThat(fencingToken(3_000)).isEqualTo(5);
    }

    @Test
    void aLeaderActsOnlyWhileItsLastJoinIsRecent() {
        join(10_000, 5, true);
        assertThat(fencingToken(12_599)).isEqualTo(5);
        assertThat(fencingToken(12_600)).isEqualTo(-1);
    }

    @Test
    void aHostThatWasSuspendedDoesNotAct() {
        join(10_000, 5, true);
        assertThat(lease.fencingToken(10_010, WALL + 15_000)).isEmpty();
    }

    @Test
    void aFormerLeaderActsAgainOnlyALeaseAfterItsLastAction() {
        join(10_000, 5, true);
        lease.recordAction(10_100);
        join(10_900, 6, false);
        assertThat(fencingToken(10_900)).isEqualTo(-1);
        join(11_800, 7, true);
        assertThat(fencingToken(11_800)).isEqualTo(-1);
        join(13_100, 7, true);
        assertThat(fencingToken(13_100)).isEqualTo(7);
    }

    @Test
    void anotherHostActsAtOnceWhenItBecomesLeader() {
        join(10_000, 5, false);
        join(10_900, 6, true);
        assertThat(fencingToken(10_900)).isEqualTo(6);
    }

    @Test
    void aFencedTokenIsNeverUsedAgain() {
        join(10_000, 5, true);
        lease.recordFenced(5);
        assertThat(fencingToken(10_001)).isEqualTo(-1);
        join(10_900, 6, true);
        assertThat(fencingToken(10_900)).isEqualTo(6);
    }

    @Test
    void afterARollbackOfTheLogNobodyActsForALeaseAndTokensAreHigherThanBefore() {
        join(10_000, 9, true);
        assertThat(fencingToken(10_001)).isEqualTo(9);
        lease.recordRollback(11_000);
        assertThat(lease.generation()).isZero();
        lease.recordJoin(11_100, WALL + 11_100, new GroupAssignment(2, 4, true));
        assertThat(fencingToken(11_100)).isEqualTo(-1);
        lease.recordJoin(13_900, WALL + 13_900, new GroupAssignment(2, 4, true));
        assertThat(fencingToken(13_999)).isEqualTo(-1);
        assertThat(fencingToken(14_000)).isGreaterThan(new GroupAssignment(1, 1_000_000, true).token());
    }

    private void join(long now, long generation, boolean leads) {
        lease.recordJoin(now, WALL + now, new GroupAssignment(StoreEra.UNKNOWN, generation, leads));
    }

    private long fencingToken(long now) {
        return lease.fencingToken(now, WALL + now).orElse(-1);
    }
}
