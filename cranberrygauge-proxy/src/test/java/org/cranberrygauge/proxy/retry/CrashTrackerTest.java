package org.cranberrygauge.proxy.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;

class CrashTrackerTest {

    private final CrashTracker tracker = new CrashTracker();

    @Test
    void blocksARequestAfterThreeCrashesOnAllHostsTogether() {
        tracker.record(0, 1);
        tracker.replaceRemote("host-2", Map.of(1L, 1));
        assertThat(tracker.isBlocked(1)).isFalse();
        tracker.replaceRemote("host-3", Map.of(1L, 1));
        assertThat(tracker.isBlocked(1)).isTrue();
        assertThat(tracker.isBlocked(2)).isFalse();
    }

    @Test
    void aRepeatedReportOfAHostIsCountedOnce() {
        tracker.replaceRemote("host-2", Map.of(1L, 2));
        tracker.replaceRemote("host-2", Map.of(1L, 2));
        assertThat(tracker.isBlocked(1)).isFalse();
    }

    @Test
    void crashesExpire() {
        tracker.record(0, 1);
        assertThat(tracker.local(60_000)).containsEntry(1L, 1);
        assertThat(tracker.local(60_001)).isEmpty();
        assertThat(tracker.isEmpty()).isTrue();
    }

    @Test
    void tracksABoundedNumberOfRequests() {
        for (long fingerprint = 0; fingerprint < 2_000; fingerprint++) {
            tracker.record(0, fingerprint);
        }
        assertThat(tracker.local(0)).hasSize(512).containsKey(1_999L).doesNotContainKey(0L);
    }
}
