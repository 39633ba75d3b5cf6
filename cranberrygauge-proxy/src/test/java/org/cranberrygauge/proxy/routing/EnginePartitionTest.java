package org.cranberrygauge.proxy.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.cranberrygauge.proxy.ProxyFixtures;
import org.cranberrygauge.proxy.backend.Backend;
import org.junit.jupiter.api.Test;

/** Guards against long prompts whose prefill delays every decode step of the short requests on the same engine. */
class EnginePartitionTest {

    @Test
    void someEnginesAreForShortPromptsAndNoneIsForBothKinds() {
        EnginePartition partition = EnginePartition.split(engines(8), 0.15);
        assertThat(partition.shortPrompts()).hasSize(2);
        assertThat(partition.longPrompts()).hasSize(6).doesNotContainAnyElementsOf(partition.shortPrompts());
    }

    @Test
    void thePartitionDoesNotDependOnTheOrderOfEngines() {
        List<Backend> engines = engines(10);
        EnginePartition partition = EnginePartition.split(engines, 0.15);
        Collections.shuffle(engines, new Random(3));
        assertThat(EnginePartition.split(engines, 0.15)).isEqualTo(partition);
    }

    @Test
    void removingAnEngineMovesFewOthers() {
        List<Backend> engines = engines(12);
        List<Backend> before = EnginePartition.split(engines, 0.15).shortPrompts();
        engines.remove(EnginePartition.split(engines, 0.15).longPrompts().get(0));
        List<Backend> after = EnginePartition.split(engines, 0.15).shortPrompts();
        assertThat(after).containsAll(before);
    }

    @Test
    void twoEnginesServeAllPrompts() {
        EnginePartition partition = EnginePartition.split(engines(2), 0.15);
        assertThat(partition.shortPrompts()).isEqualTo(partition.longPrompts());
    }

    @Test
    void classifiesPromptsByLength() {
        assertThat(EnginePartition.isShort(ProxyFixtures.shortPrompt("s"))).isTrue();
        assertThat(EnginePartition.isShort(ProxyFixtures.longPrompt("d"))).isFalse();
    }

    private static List<Backend> engines(int number) {
        List<Backend> engines = new ArrayList<>();
        for (int index = 0; index < number; index++) {
            engines.add(ProxyFixtures.backend("engine-" + index));
        }
        return engines;
    }
}
