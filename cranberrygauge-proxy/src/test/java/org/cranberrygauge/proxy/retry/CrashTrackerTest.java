package org.cranberrygauge.proxy.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;

class CrashTrackerTest {

    private final CrashTracker register = new CrashTracker();

    @Test
    void refusesARequestAfterThreeCrashesOverAllHosts() {
        register.note(0, 1);
        register.takeOthers("host-2", Map.of(1L, 1));
        assertThat(register.refuses(1)).isFalse();
        register.takeOthers("host-3", Map.of(1L, 1));
        assertThat(register.refuses(1)).isTrue();
        assertThat(register.refuses(2)).isFalse();
    }

    @Test
    void aRepeatedReportOfAHostCountsOnce() {
        register.takeOthers("host-2", Map.of(1L, 2));
        register.takeOthers("host-2", Map.of(1L, 2));
        assertThat(register.refuses(1)).isFalse();
    }

    @Test
    void forgetsCrashesAfterAWhile() {
        register.note(0, 1);
        assertThat(register.own(60_000)).containsEntry(1L, 1);
        assertThat(register.own(60_001)).isEmpty();
        assertThat(register.isEmpty()).isTrue();
    }

    @Test
    void remembersABoundedNumberOfRequests() {
        for (long fingerprint = 0; fingerprint < 2_000; fingerprint++) {
            register.note(0, fingerprint);
        }
        assertThat(register.own(0)).hasSize(512).containsKey(1_999L).doesNotContainKey(0L);
    }
}
