package org.cranberrygauge.proxy.leader;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;

class UsageCounterTest {

    private final UsageCounter counter = new UsageCounter(5_000);

    @Test
    void countsByWallClockWindow() {
        counter.count(9_999, "a");
        counter.count(10_000, "a");
        counter.count(10_001, "b");
        assertThat(counter.newest(3)).containsEntry(1L, Map.of("a", 1L)).containsEntry(2L, Map.of("a", 1L, "b", 1L));
    }

    @Test
    void countsAreCumulative() {
        counter.count(0, "a");
        counter.newest(1);
        counter.count(1, "a");
        assertThat(counter.newest(1)).containsEntry(0L, Map.of("a", 2L));
    }

    @Test
    void returnsTheNewestWindowsOnly() {
        counter.count(0, "a");
        counter.count(5_000, "a");
        counter.count(10_000, "a");
        assertThat(counter.newest(2)).containsOnlyKeys(1L, 2L);
    }

    @Test
    void retainsABoundedNumberOfWindows() {
        for (long window = 0; window < 40; window++) {
            counter.count(window * 5_000, "a");
        }
        assertThat(counter.newest(100)).hasSize(12).containsKey(39L);
    }
}
