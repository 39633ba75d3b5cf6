package org.cranberrygauge.proxy.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.cranberrygauge.decision.topology.RendezvousHash;
import org.cranberrygauge.proxy.ProxyFixtures;
import org.cranberrygauge.proxy.backend.Backend;
import org.junit.jupiter.api.Test;

class EngineRanksTest {

    private static final double SHORT_FRACTION = 0.3;

    private final List<Backend> engines = IntStream.range(0, 12)
            .mapToObj(number -> ProxyFixtures.backend("engine-" + number))
            .toList();

    private final EngineRanks ranks = new EngineRanks();

    @Test
    void theRanksAreThoseOfTheHashOverTheEnginesThatAreMeantForThePrompt() {
        ranks.update(engines, SHORT_FRACTION);
        EnginePartition partition = EnginePartition.split(engines, SHORT_FRACTION);
        for (int document = 0; document < 600; document++) {
            Prompt prompt = ProxyFixtures.longPrompt("document-" + document % 300);
            List<Backend> expected =
                    RendezvousHash.ranked(prompt.affinityKey(), partition.longPrompts(), Backend::incarnation);
            for (Backend engine : engines) {
                assertThat(ranks.affinityRank(engine, prompt, false)).isEqualTo(expected.indexOf(engine));
                assertThat(ranks.isMeantFor(engine, false)).isEqualTo(expected.contains(engine));
            }
        }
    }

    @Test
    void anEngineThatIsGoneHasNoRankAfterTheUpdate() {
        ranks.update(engines, SHORT_FRACTION);
        Prompt prompt = ProxyFixtures.longPrompt("document");
        Backend first = EnginePartition.split(engines, SHORT_FRACTION).longPrompts().stream()
                .filter(engine -> ranks.affinityRank(engine, prompt, false) == 0)
                .findFirst()
                .orElseThrow();
        List<Backend> left = new ArrayList<>(engines);
        left.remove(first);
        ranks.update(left, SHORT_FRACTION);
        assertThat(ranks.affinityRank(first, prompt, false)).isEqualTo(EngineRanks.UNRANKED);
        assertThat(left).anyMatch(engine -> ranks.affinityRank(engine, prompt, false) == 0);
    }

    @Test
    void aChangeOfTheFractionMovesEnginesToTheOtherSide() {
        ranks.update(engines, SHORT_FRACTION);
        long before = engines.stream()
                .filter(engine -> ranks.isMeantFor(engine, true))
                .count();
        ranks.update(engines, 2 * SHORT_FRACTION);
        assertThat(engines.stream().filter(engine -> ranks.isMeantFor(engine, true)))
                .hasSizeGreaterThan((int) before);
    }

    @Test
    void aPromptWithoutPartsHasNoRank() {
        ranks.update(engines, SHORT_FRACTION);
        assertThat(ranks.affinityRank(engines.get(0), Prompt.NONE, true)).isEqualTo(EngineRanks.UNRANKED);
    }
}
