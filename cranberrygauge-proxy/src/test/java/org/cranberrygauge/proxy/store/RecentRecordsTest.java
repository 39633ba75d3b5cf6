package org.cranberrygauge.proxy.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.cranberrygauge.proxy.store.RecentRecords.Part;
import org.junit.jupiter.api.Test;

class RecentRecordsTest {

    private static final byte[] FIRST = {1};

    private static final byte[] SECOND = {2, 2};

    private final RecentRecords trail = new RecentRecords();

    @Test
    void knowsNothingBeforeTheFirstRead() {
        assertThat(trail.since(0, 100)).isEmpty();
    }

    @Test
    void returnsWhatFollowsAnOffset() {
        trail.add(7, List.of(FIRST, SECOND));
        assertThat(trail.since(7, 100)).contains(new Part(List.of(FIRST, SECOND), true));
        assertThat(trail.since(8, 100)).contains(new Part(List.of(SECOND), true));
        assertThat(trail.since(9, 100)).contains(new Part(List.of(), true));
        assertThat(trail.since(12, 100)).contains(new Part(List.of(), true));
    }

    @Test
    void doesNotKnowWhatCameBeforeTheFirstKeptRecord() {
        trail.add(7, List.of(FIRST));
        assertThat(trail.since(6, 100)).isEmpty();
    }

    @Test
    void forgetsWhatLiesBeforeAGap() {
        trail.add(7, List.of(FIRST));
        trail.add(10, List.of(SECOND));
        assertThat(trail.since(7, 100)).isEmpty();
        assertThat(trail.since(10, 100)).contains(new Part(List.of(SECOND), true));
    }

    @Test
    void returnsAPartWhereAllOfItIsTooMuch() {
        trail.add(0, List.of(FIRST, SECOND));
        assertThat(trail.since(0, 2)).contains(new Part(List.of(FIRST), false));
        assertThat(trail.since(1, 1)).isEmpty();
        assertThat(trail.since(1, 2)).contains(new Part(List.of(SECOND), true));
    }

    @Test
    void keepsABoundedNumberOfBytes() {
        byte[] large = new byte[100_000];
        trail.add(0, List.of(large));
        trail.add(1, List.of(large, FIRST));
        assertThat(trail.since(0, 1_000_000)).isEmpty();
        assertThat(trail.since(1, 1_000_000)).contains(new Part(List.of(large, FIRST), true));
    }
}
