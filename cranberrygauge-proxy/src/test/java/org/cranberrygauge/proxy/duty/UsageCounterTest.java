package org.cranberrygauge.proxy.duty;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class UsageCounterTest {

    private final UsageCounter counter = new UsageCounter(5_000);

    @Test
    void countsByWindowOfTheTimeOfDay() {
        counter.count(9_999, "a");
        counter.count(10_000, "a");
        counter.count(10_001, "b");
        assertThat(counter.takeChanged())
                .containsEntry(1L, Map.of("a", 1L))
                .containsEntry(2L, Map.of("a", 1L, "b", 1L));
    }

    @Test
    void countsAreCumulativeAndTakenOnlyWhenTheyChanged() {
        counter.count(0, "a");
        counter.takeChanged();
        assertThat(counter.takeChanged()).isEmpty();
        counter.count(1, "a");
        assertThat(counter.takeChanged()).containsEntry(0L, Map.of("a", 2L));
    }

    @Test
    void whatCouldNotBeWrittenIsTakenAgain() {
        counter.count(0, "a");
        counter.takeChanged();
        counter.giveBack(List.of(0L, 99L));
        assertThat(counter.takeChanged()).containsOnlyKeys(0L);
    }

    @Test
    void remembersABoundedNumberOfWindows() {
        for (long window = 0; window < 40; window++) {
            counter.count(window * 5_000, "a");
        }
        assertThat(counter.takeChanged()).hasSize(12).containsKey(39L);
    }
}
