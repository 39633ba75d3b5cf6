package org.cranberrygauge.proxy.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class StoreEraTest {

    private final StoreEra era = new StoreEra();

    private final List<String> changes = new ArrayList<>();

    @Test
    void theFirstEraIsNoChange() {
        era.onChange((previous, current) -> changes.add(previous + " to " + current));
        assertThat(era.observe(4)).isTrue();
        assertThat(era.observe(4)).isTrue();
        assertThat(changes).isEmpty();
        assertThat(era.newest()).isEqualTo(4);
    }

    @Test
    void listenersAreInformedOnceOfEachChange() {
        era.onChange((previous, current) -> changes.add(previous + " to " + current));
        era.observe(4);
        era.observe(5);
        era.observe(5);
        era.observe(7);
        assertThat(changes).containsExactly("4 to 5", "5 to 7");
    }

    @Test
    void aResponseOfAnOlderEraIsToBeDropped() {
        era.observe(5);
        assertThat(era.observe(4)).isFalse();
        assertThat(era.newest()).isEqualTo(5);
    }
}
