package org.cranberrygauge.proxy.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.cranberrygauge.proxy.store.RecentRecords.Part;
import org.junit.jupiter.api.Test;

class RecentRecordsTest {

    private static final byte[] FIRST = {1};

    private static final byte[] SECOND = {2, 2};

    private final RecentRecords recent = new RecentRecords();

    @Test
    void returnsNothingBeforeTheFirstRead() {
        assertThat(recent.since(0, 100)).isEmpty();
    }

    @Test
    void returnsTheRecordsFromAnOffsetOn() {
        recent.add(7, List.of(FIRST, SECOND));
        assertThat(recent.since(7, 100)).contains(new Part(List.of(FIRST, SECOND), true));
        assertThat(recent.since(8, 100)).contains(new Part(List.of(SECOND), true));
        assertThat(recent.since(9, 100)).contains(new Part(List.of(), true));
        assertThat(recent.since(12, 100)).contains(new Part(List.of(), true));
    }

    /** Guards against records that are relayed twice, or no longer, after two reads that overlap. */
    @Test
    void retainsRecordsOnceThatTwoReadsReturned() {
        recent.add(7, List.of(FIRST));
        recent.add(7, List.of(FIRST, SECOND));
        assertThat(recent.since(7, 100)).contains(new Part(List.of(FIRST, SECOND), true));
        assertThat(recent.end()).isEqualTo(9);
    }

    @Test
    void returnsNothingFromBeforeTheFirstRetainedRecord() {
        recent.add(7, List.of(FIRST));
        assertThat(recent.since(6, 100)).isEmpty();
    }

    @Test
    void discardsRecordsBeforeAGap() {
        recent.add(7, List.of(FIRST));
        recent.add(10, List.of(SECOND));
        assertThat(recent.since(7, 100)).isEmpty();
        assertThat(recent.since(10, 100)).contains(new Part(List.of(SECOND), true));
    }

    @Test
    void returnsAPartIfAllRecordsExceedTheMaximum() {
        recent.add(0, List.of(FIRST, SECOND));
        assertThat(recent.since(0, 2)).contains(new Part(List.of(FIRST), false));
        assertThat(recent.since(1, 1)).isEmpty();
        assertThat(recent.since(1, 2)).contains(new Part(List.of(SECOND), true));
    }

    @Test
    void retainsABoundedNumberOfBytes() {
        byte[] large = new byte[100_000];
        recent.add(0, List.of(large));
        recent.add(1, List.of(large, FIRST));
        assertThat(recent.since(0, 1_000_000)).isEmpty();
        assertThat(recent.since(1, 1_000_000)).contains(new Part(List.of(large, FIRST), true));
    }
}
