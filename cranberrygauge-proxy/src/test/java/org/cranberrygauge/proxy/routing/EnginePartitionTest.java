package org.cranberrygauge.proxy.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.cranberrygauge.proxy.ProxyFixtures;
import org.cranberrygauge.proxy.backend.Backend;
import org.junit.jupiter.api.Test;

/** Answers the pattern of chats beside studies whose prompts hold up every step of an engine. */
class EnginePartitionTest {

    @Test
    void aPartOfTheEnginesIsForShortPromptsAndNoneIsInBothLanes() {
        EnginePartition lanes = EnginePartition.split(engines(8));
        assertThat(lanes.shortPrompts()).hasSize(2);
        assertThat(lanes.longPrompts()).hasSize(6).doesNotContainAnyElementsOf(lanes.shortPrompts());
    }

    @Test
    void allHostsSplitAlikeWhateverTheOrder() {
        List<Backend> engines = engines(10);
        EnginePartition lanes = EnginePartition.split(engines);
        Collections.shuffle(engines, new Random(3));
        assertThat(EnginePartition.split(engines)).isEqualTo(lanes);
    }

    @Test
    void anEngineThatGoesMovesFewOthers() {
        List<Backend> engines = engines(12);
        List<Backend> before = EnginePartition.split(engines).shortPrompts();
        engines.remove(EnginePartition.split(engines).longPrompts().get(0));
        List<Backend> after = EnginePartition.split(engines).shortPrompts();
        assertThat(after).containsAll(before);
    }

    @Test
    void twoEnginesTakeAllPrompts() {
        EnginePartition lanes = EnginePartition.split(engines(2));
        assertThat(lanes.shortPrompts()).isEqualTo(lanes.longPrompts());
    }

    @Test
    void chatsAreShortAndStudiesLong() {
        assertThat(EnginePartition.isShort(ProxyFixtures.chat("s"))).isTrue();
        assertThat(EnginePartition.isShort(ProxyFixtures.study("d"))).isFalse();
    }

    private static List<Backend> engines(int number) {
        List<Backend> engines = new ArrayList<>();
        for (int index = 0; index < number; index++) {
            engines.add(ProxyFixtures.backend("engine-" + index));
        }
        return engines;
    }
}
