package org.cranberrygauge.proxy.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.cranberrygauge.decision.capacity.ServerCapacity;
import org.cranberrygauge.model.backend.Supply;
import org.cranberrygauge.proxy.ProxyFixtures;
import org.cranberrygauge.proxy.backend.Backend;
import org.cranberrygauge.proxy.routing.BackendChooser.Choice;
import org.cranberrygauge.proxy.routing.PeerLoads.Work;
import org.junit.jupiter.api.Test;

/** Each test guards the choice for one load pattern. */
class BackendChooserTest {

    private static final long MEMORY = 500_000;

    private final LoadTable loads = new LoadTable();

    private final BackendChooser chooser =
            new BackendChooser("east-a", loads, new EngineProfiles(), new ServerCapacity(), new SplittableRandom(1));

    private final List<Backend> engines = engines(8);

    @Test
    void hostsSendADocumentToTheSameEngineWithoutCoordination() {
        BackendChooser other = new BackendChooser(
                "east-a", new LoadTable(), new EngineProfiles(), new ServerCapacity(), new SplittableRandom(2));
        for (int document = 0; document < 30; document++) {
            Prompt prompt = ProxyFixtures.longPrompt("document-" + document);
            assertThat(choose(chooser, prompt, PeerLoads.NO_PEERS).backend())
                    .isEqualTo(choose(other, prompt, PeerLoads.NO_PEERS).backend());
        }
    }

    @Test
    void aDocumentStaysWhereItIsCachedWhileThatEngineIsModeratelyLoaded() {
        Prompt prompt = ProxyFixtures.longPrompt("document");
        Backend preferred = choose(chooser, prompt, PeerLoads.NO_PEERS).backend();
        PeerLoads busy = new PeerLoads(Map.of(preferred.incarnation(), new Work(6, 10_000, 20_000, 0)), 4);
        loads.of(preferred.incarnation(), MEMORY).place(prompt, Work.NONE).end();
        assertThat(choose(chooser, prompt, busy).backend()).isEqualTo(preferred);
    }

    @Test
    void aDocumentSpreadsOnceItsEngineIsOverloaded() {
        Prompt prompt = ProxyFixtures.longPrompt("document");
        Backend preferred = choose(chooser, prompt, PeerLoads.NO_PEERS).backend();
        loads.of(preferred.incarnation(), MEMORY).place(prompt, Work.NONE).end();
        PeerLoads overloaded = new PeerLoads(Map.of(preferred.incarnation(), new Work(40, 200_000, 400_000, 0)), 4);
        assertThat(choose(chooser, prompt, overloaded).backend()).isNotEqualTo(preferred);
    }

    @Test
    void aPartThatAnotherHostSentCountsAsCached() {
        Prompt prompt = ProxyFixtures.longPrompt("document");
        Backend other = EnginePartition.split(engines, 0.15).longPrompts().stream()
                .filter(engine -> !engine.equals(
                        choose(chooser, prompt, PeerLoads.NO_PEERS).backend()))
                .findFirst()
                .orElseThrow();
        loads.of(other.incarnation(), MEMORY);
        loads.addCachedPart(new PlacedPart(other.incarnation(), prompt.parts().get(0)));
        assertThat(choose(chooser, prompt, PeerLoads.NO_PEERS).backend()).isEqualTo(other);
    }

    @Test
    void shortPromptsAvoidEnginesWithLongPrompts() {
        Map<String, Work> work = new HashMap<>();
        EnginePartition partition = EnginePartition.split(engines, 0.15);
        partition.longPrompts().forEach(engine -> work.put(engine.incarnation(), new Work(8, 30_000, 60_000, 0)));
        partition.shortPrompts().forEach(engine -> work.put(engine.incarnation(), new Work(12, 1_000, 15_000, 12)));
        PeerLoads peers = new PeerLoads(work, 4);
        for (int session = 0; session < 20; session++) {
            assertThat(partition.shortPrompts())
                    .contains(choose(chooser, ProxyFixtures.shortPrompt("session-" + session), peers)
                            .backend());
        }
    }

    @Test
    void longAndShortPromptsAreSeparatedEvenWithoutLoad() {
        EnginePartition partition = EnginePartition.split(engines, 0.15);
        for (int number = 0; number < 40; number++) {
            assertThat(partition.longPrompts())
                    .contains(choose(chooser, ProxyFixtures.longPrompt("document-" + number), PeerLoads.NO_PEERS)
                            .backend());
            assertThat(partition.shortPrompts())
                    .contains(choose(chooser, ProxyFixtures.shortPrompt("session-" + number), PeerLoads.NO_PEERS)
                            .backend());
        }
    }

    @Test
    void aDocumentInHighDemandSpreadsOverFewEngines() {
        Prompt prompt = ProxyFixtures.longPrompt("document");
        Set<Backend> used = new HashSet<>();
        for (int number = 0; number < 40; number++) {
            Backend chosen = choose(chooser, prompt, PeerLoads.NO_PEERS).backend();
            loads.of(chosen.incarnation(), MEMORY).place(prompt, Work.NONE);
            used.add(chosen);
        }
        assertThat(used).hasSizeBetween(2, 4);
    }

    @Test
    void hostsWithTheSameStaleViewOfTheLoadSpreadABurstOfShortPrompts() {
        List<Backend> many = engines(40);
        Map<String, Work> work = new HashMap<>();
        for (int index = 0; index < many.size(); index++) {
            work.put(many.get(index).incarnation(), new Work(10, 1_000, 14_000 + index * 10L, 10));
        }
        PeerLoads peers = new PeerLoads(work, 32);
        Map<Backend, Integer> chosen = new HashMap<>();
        for (int host = 0; host < 32; host++) {
            BackendChooser other = new BackendChooser(
                    "east-a", new LoadTable(), new EngineProfiles(), new ServerCapacity(), new SplittableRandom(host));
            chosen.merge(
                    other.choose(
                                    1_000,
                                    ProxyFixtures.ENGINES,
                                    many,
                                    backend -> true,
                                    ProxyFixtures.shortPrompt("session-" + host),
                                    peers)
                            .orElseThrow()
                            .backend(),
                    1,
                    Integer::sum);
        }
        assertThat(chosen.values()).allSatisfy(count -> assertThat(count).isLessThanOrEqualTo(10));
    }

    @Test
    void longPromptsAreQueuedOnceAllEnginesAreSaturated() {
        Map<String, Work> work = new HashMap<>();
        engines.forEach(engine -> work.put(engine.incarnation(), new Work(10, 40_000, 89_000, 0)));
        PeerLoads full = new PeerLoads(work, 4);
        assertThat(choose(chooser, ProxyFixtures.longPrompt("document"), full).saturated())
                .isTrue();
        assertThat(choose(chooser, ProxyFixtures.shortPrompt("session"), full).saturated())
                .isFalse();
        assertThat(choose(chooser, ProxyFixtures.longPrompt("document"), PeerLoads.NO_PEERS)
                        .saturated())
                .isFalse();
    }

    /** Guards against requests of several hosts that together exceed an engine's memory, under which it crashes. */
    @Test
    void aRequestGoesWhereItFitsIntoTheCacheOrWaits() {
        Prompt prompt = ProxyFixtures.shortPrompt("session");
        Map<String, Work> work = new HashMap<>();
        long memory = ProxyFixtures.ENGINES.memoryTokens();
        engines.forEach(engine -> work.put(engine.incarnation(), new Work(1, 0, memory - 1_000, 0)));
        assertThat(choose(chooser, prompt, new PeerLoads(work, 4)).saturated()).isTrue();
        Backend roomy = engines.get(5);
        work.put(roomy.incarnation(), new Work(60, 100_000, memory - 2_000, 60));
        Choice choice = choose(chooser, prompt, new PeerLoads(work, 4));
        assertThat(choice.backend()).isEqualTo(roomy);
        assertThat(choice.saturated()).isFalse();
    }

    /** Guards against a request that waits for room that no engine can ever have. */
    @Test
    void aRequestLargerThanEveryCacheIsSentAsBefore() {
        long memory = ProxyFixtures.ENGINES.memoryTokens();
        Choice choice = choose(chooser, new Prompt(memory, 1, List.of()), PeerLoads.NO_PEERS);
        assertThat(choice.saturated()).isFalse();
    }

    @Test
    void anEngineInCooldownIsUsedOnlyIfThereIsNoOther() {
        Prompt prompt = ProxyFixtures.longPrompt("document");
        Backend preferred = choose(chooser, prompt, PeerLoads.NO_PEERS).backend();
        loads.of(preferred.incarnation(), MEMORY).recordFailure(1_000, true);
        assertThat(choose(chooser, prompt, PeerLoads.NO_PEERS).backend()).isNotEqualTo(preferred);
        assertThat(chooser.choose(
                                1_000,
                                ProxyFixtures.ENGINES,
                                List.of(preferred),
                                backend -> true,
                                prompt,
                                PeerLoads.NO_PEERS)
                        .map(Choice::backend))
                .contains(preferred);
    }

    @Test
    void aBackendServerThatWasTriedIsNotChosenAgain() {
        Set<String> tried = new HashSet<>();
        for (int round = 0; round < engines.size(); round++) {
            tried.add(chooser.choose(
                            1_000,
                            ProxyFixtures.ENGINES,
                            engines,
                            backend -> !tried.contains(backend.incarnation()),
                            ProxyFixtures.shortPrompt("s"),
                            PeerLoads.NO_PEERS)
                    .orElseThrow()
                    .backend()
                    .incarnation());
        }
        assertThat(tried).hasSize(engines.size());
        assertThat(chooser.choose(
                        1_000,
                        ProxyFixtures.ENGINES,
                        engines,
                        backend -> !tried.contains(backend.incarnation()),
                        ProxyFixtures.shortPrompt("s"),
                        PeerLoads.NO_PEERS))
                .isEmpty();
    }

    @Test
    void aPlainServicePrefersItsOwnDataCentreUntilItIsBusy() {
        Backend near = ProxyFixtures.backend("near", "ledger", "east-a", false, Supply.REGULAR);
        Backend far = ProxyFixtures.backend("far", "ledger", "east-b", false, Supply.REGULAR);
        List<Backend> both = List.of(far, near);
        assertThat(chooser.choose(1_000, ProxyFixtures.LEDGER, both, backend -> true, Prompt.NONE, PeerLoads.NO_PEERS)
                        .map(Choice::backend))
                .contains(near);
        PeerLoads busy = new PeerLoads(Map.of(near.incarnation(), new Work(20, 0, 0, 20)), 4);
        assertThat(chooser.choose(1_000, ProxyFixtures.LEDGER, both, backend -> true, Prompt.NONE, busy)
                        .map(Choice::backend))
                .contains(far);
    }

    private Choice choose(BackendChooser chosen, Prompt prompt, PeerLoads peers) {
        return chosen.choose(1_000, ProxyFixtures.ENGINES, engines, backend -> true, prompt, peers)
                .orElseThrow();
    }

    private static List<Backend> engines(int number) {
        List<Backend> engines = new ArrayList<>();
        for (int index = 0; index < number; index++) {
            engines.add(ProxyFixtures.backend("engine-" + index));
        }
        return engines;
    }
}
