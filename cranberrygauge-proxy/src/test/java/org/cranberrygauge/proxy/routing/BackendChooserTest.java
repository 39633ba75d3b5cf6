package org.cranberrygauge.proxy.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.cranberrygauge.model.backend.Supply;
import org.cranberrygauge.proxy.ProxyFixtures;
import org.cranberrygauge.proxy.backend.Backend;
import org.cranberrygauge.proxy.routing.BackendChooser.Choice;
import org.cranberrygauge.proxy.routing.PeerLoads.Work;
import org.junit.jupiter.api.Test;

/** Each test names the load pattern that it answers. */
class BackendChooserTest {

    private static final long MEMORY = 500_000;

    private final LoadTable loads = new LoadTable();

    private final BackendChooser chooser = new BackendChooser("east-a", loads, new SplittableRandom(1));

    private final List<Backend> engines = engines(8);

    @Test
    void hostsThatDoNotTalkSendADocumentToTheSameEngine() {
        BackendChooser other = new BackendChooser("east-a", new LoadTable(), new SplittableRandom(2));
        for (int document = 0; document < 30; document++) {
            Prompt prompt = ProxyFixtures.study("document-" + document);
            assertThat(choose(chooser, prompt, PeerLoads.ALONE).backend())
                    .isEqualTo(choose(other, prompt, PeerLoads.ALONE).backend());
        }
    }

    @Test
    void aDocumentStaysWhereItIsCachedWhileThatEngineIsModeratelyLoaded() {
        Prompt prompt = ProxyFixtures.study("document");
        Backend home = choose(chooser, prompt, PeerLoads.ALONE).backend();
        PeerLoads busy = new PeerLoads(Map.of(home.incarnation(), new Work(6, 10_000, 20_000, 0)), 4);
        loads.of(home.incarnation(), MEMORY).place(prompt).end();
        assertThat(choose(chooser, prompt, busy).backend()).isEqualTo(home);
    }

    @Test
    void aHotDocumentSpreadsOnceItsEngineIsOverloaded() {
        Prompt prompt = ProxyFixtures.study("document");
        Backend home = choose(chooser, prompt, PeerLoads.ALONE).backend();
        loads.of(home.incarnation(), MEMORY).place(prompt).end();
        PeerLoads overloaded = new PeerLoads(Map.of(home.incarnation(), new Work(40, 200_000, 400_000, 0)), 4);
        assertThat(choose(chooser, prompt, overloaded).backend()).isNotEqualTo(home);
    }

    @Test
    void whatAnotherHostSentCountsAsCached() {
        Prompt prompt = ProxyFixtures.study("document");
        Backend away = EnginePartition.split(engines).longPrompts().stream()
                .filter(engine ->
                        !engine.equals(choose(chooser, prompt, PeerLoads.ALONE).backend()))
                .findFirst()
                .orElseThrow();
        loads.of(away.incarnation(), MEMORY);
        loads.notePart(new PlacedPart(away.incarnation(), prompt.parts().get(0)));
        assertThat(choose(chooser, prompt, PeerLoads.ALONE).backend()).isEqualTo(away);
    }

    @Test
    void chatsAvoidEnginesThatReadLongPrompts() {
        Map<String, Work> work = new HashMap<>();
        EnginePartition lanes = EnginePartition.split(engines);
        lanes.longPrompts().forEach(engine -> work.put(engine.incarnation(), new Work(8, 30_000, 60_000, 0)));
        lanes.shortPrompts().forEach(engine -> work.put(engine.incarnation(), new Work(12, 1_000, 15_000, 12)));
        PeerLoads peers = new PeerLoads(work, 4);
        for (int session = 0; session < 20; session++) {
            assertThat(lanes.shortPrompts())
                    .contains(choose(chooser, ProxyFixtures.chat("session-" + session), peers)
                            .backend());
        }
    }

    @Test
    void studiesAndChatsGoToEnginesOfTheirOwnAlsoWithoutAnyLoad() {
        EnginePartition lanes = EnginePartition.split(engines);
        for (int number = 0; number < 40; number++) {
            assertThat(lanes.longPrompts())
                    .contains(choose(chooser, ProxyFixtures.study("document-" + number), PeerLoads.ALONE)
                            .backend());
            assertThat(lanes.shortPrompts())
                    .contains(choose(chooser, ProxyFixtures.chat("session-" + number), PeerLoads.ALONE)
                            .backend());
        }
    }

    @Test
    void aDocumentInGreatDemandSpreadsOverFewEngines() {
        Prompt prompt = ProxyFixtures.study("document");
        Set<Backend> used = new HashSet<>();
        for (int number = 0; number < 40; number++) {
            Backend chosen = choose(chooser, prompt, PeerLoads.ALONE).backend();
            loads.of(chosen.incarnation(), MEMORY).place(prompt);
            used.add(chosen);
        }
        assertThat(used).hasSizeBetween(2, 4);
    }

    @Test
    void hostsWithTheSameOldViewOfLoadsSpreadABurstOfChats() {
        List<Backend> many = engines(40);
        Map<String, Work> work = new HashMap<>();
        for (int index = 0; index < many.size(); index++) {
            work.put(many.get(index).incarnation(), new Work(10, 1_000, 14_000 + index * 10L, 10));
        }
        PeerLoads peers = new PeerLoads(work, 32);
        Map<Backend, Integer> chosen = new HashMap<>();
        for (int host = 0; host < 32; host++) {
            BackendChooser other = new BackendChooser("east-a", new LoadTable(), new SplittableRandom(host));
            chosen.merge(
                    other.choose(
                                    1_000,
                                    ProxyFixtures.ENGINES,
                                    many,
                                    Set.of(),
                                    ProxyFixtures.chat("session-" + host),
                                    peers)
                            .orElseThrow()
                            .backend(),
                    1,
                    Integer::sum);
        }
        assertThat(chosen.values()).allSatisfy(count -> assertThat(count).isLessThanOrEqualTo(10));
    }

    @Test
    void aBurstOfStudiesWaitsOnceAllEnginesReadMostOfTheTime() {
        Map<String, Work> work = new HashMap<>();
        engines.forEach(engine -> work.put(engine.incarnation(), new Work(10, 40_000, 89_000, 0)));
        PeerLoads full = new PeerLoads(work, 4);
        assertThat(choose(chooser, ProxyFixtures.study("document"), full).crowded())
                .isTrue();
        assertThat(choose(chooser, ProxyFixtures.chat("session"), full).crowded())
                .isFalse();
        assertThat(choose(chooser, ProxyFixtures.study("document"), PeerLoads.ALONE)
                        .crowded())
                .isFalse();
    }

    @Test
    void anEngineThatFailsIsAvoidedWhileOthersAreThereAndUsedIfNoneIs() {
        Prompt prompt = ProxyFixtures.study("document");
        Backend home = choose(chooser, prompt, PeerLoads.ALONE).backend();
        loads.of(home.incarnation(), MEMORY).noteFailure(1_000, true);
        assertThat(choose(chooser, prompt, PeerLoads.ALONE).backend()).isNotEqualTo(home);
        assertThat(chooser.choose(1_000, ProxyFixtures.ENGINES, List.of(home), Set.of(), prompt, PeerLoads.ALONE)
                        .map(Choice::backend))
                .contains(home);
    }

    @Test
    void aBackendServerThatWasTriedIsNotChosenAgain() {
        Set<String> tried = new HashSet<>();
        for (int round = 0; round < engines.size(); round++) {
            tried.add(chooser.choose(
                            1_000, ProxyFixtures.ENGINES, engines, tried, ProxyFixtures.chat("s"), PeerLoads.ALONE)
                    .orElseThrow()
                    .backend()
                    .incarnation());
        }
        assertThat(tried).hasSize(engines.size());
        assertThat(chooser.choose(
                        1_000, ProxyFixtures.ENGINES, engines, tried, ProxyFixtures.chat("s"), PeerLoads.ALONE))
                .isEmpty();
    }

    @Test
    void aPlainServiceIsUsedEvenlyAndInItsOwnDataCentreFirst() {
        Backend near = ProxyFixtures.backend("near", "ledger", "east-a", false, Supply.REGULAR);
        Backend far = ProxyFixtures.backend("far", "ledger", "east-b", false, Supply.REGULAR);
        List<Backend> both = List.of(far, near);
        assertThat(chooser.choose(1_000, ProxyFixtures.LEDGER, both, Set.of(), Prompt.NONE, PeerLoads.ALONE)
                        .map(Choice::backend))
                .contains(near);
        PeerLoads busy = new PeerLoads(Map.of(near.incarnation(), new Work(20, 0, 0, 20)), 4);
        assertThat(chooser.choose(1_000, ProxyFixtures.LEDGER, both, Set.of(), Prompt.NONE, busy)
                        .map(Choice::backend))
                .contains(far);
    }

    private Choice choose(BackendChooser chosen, Prompt prompt, PeerLoads peers) {
        return chosen.choose(1_000, ProxyFixtures.ENGINES, engines, Set.of(), prompt, peers)
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
