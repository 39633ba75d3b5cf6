package org.cranberrygauge.proxy.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Set;
import org.cranberrygauge.model.backend.Supply;
import org.cranberrygauge.proxy.ProxyFixtures;
import org.cranberrygauge.proxy.backend.ListReading.Source;
import org.junit.jupiter.api.Test;

class BackendRegistryTest {

    private final BackendRegistry registry = new BackendRegistry();

    private final Backend first = ProxyFixtures.backend("first");

    @Test
    void aRemovedEntryIsRetainedUntilItIsDropped() {
        registry.put(first);
        registry.remove("first");
        assertThat(snapshot().ready("engines")).containsExactly(first);
        assertThat(registry.retained()).containsExactly("first");
        registry.dropRetained();
        assertThat(snapshot().all()).isEmpty();
        assertThat(registry.retained()).isEmpty();
    }

    @Test
    void anEntryThatIsRegisteredAgainStays() {
        registry.put(first);
        registry.remove("first");
        registry.put(first);
        registry.dropRetained();
        assertThat(snapshot().ready("engines")).containsExactly(first);
    }

    @Test
    void anEntryMissingFromACompleteListIsRetainedUntilItIsDropped() {
        registry.put(first);
        registry.replaceEntries(Map.of());
        assertThat(snapshot().all()).containsExactly(first);
        registry.dropRetained();
        assertThat(snapshot().all()).isEmpty();
    }

    @Test
    void anOlderCopyOfTheStoreBringsNeitherALeavingServerBackNorOneThatWasRemoved() {
        Backend second = ProxyFixtures.backend("second");
        registry.put(first.withLeaving());
        registry.put(second);
        registry.remove("second");
        registry.dropRetained();
        registry.recordRollback();
        registry.replaceEntries(Map.of("first", first, "second", second));
        assertThat(snapshot().all()).containsExactly(first.withLeaving());
        registry.put(second);
        assertThat(snapshot().ready("engines")).containsExactly(second);
    }

    @Test
    void aServerThatRegisteredAgainAfterItsRemovalIsTakenFromAnOlderCopy() {
        registry.put(first);
        registry.remove("first");
        registry.dropRetained();
        registry.put(first);
        registry.recordRollback();
        registry.replaceEntries(Map.of("first", first));
        assertThat(snapshot().ready("engines")).containsExactly(first);
    }

    @Test
    void anEntryThatAnOlderCopyOfTheStoreLacksIsRetainedUntilItIsDropped() {
        registry.put(first);
        registry.recordRollback();
        registry.replaceEntries(Map.of());
        assertThat(snapshot().all()).containsExactly(first);
        registry.dropRetained();
        assertThat(snapshot().all()).isEmpty();
    }

    @Test
    void aDrainingBackendServerGetsNoNewRequestsAndIsNotRetained() {
        Backend leaving = ProxyFixtures.backend("first", "engines", "east-a", true, Supply.REGULAR);
        registry.put(leaving);
        assertThat(snapshot().ready("engines")).isEmpty();
        assertThat(snapshot().lists(leaving.incarnation())).isTrue();
        registry.remove("first");
        assertThat(snapshot().all()).isEmpty();
    }

    @Test
    void aDiscardedEntryDoesNotAffectTheOthers() {
        Backend second = ProxyFixtures.backend("second");
        registry.put(first);
        registry.put(second);
        registry.discard("first");
        assertThat(snapshot().all()).containsExactly(second);
    }

    @Test
    void theListIsUnknownBeforeTheFirstRead() {
        assertThat(snapshot().known()).isFalse();
        registry.recordRead();
        assertThat(snapshot().known()).isTrue();
    }

    @Test
    void aSnapshotTellsTheAgeOfTheListAlsoWhereADataCentreIsEvacuated() {
        ListReading reading = new ListReading(Source.OTHER_HOST, 1_000);
        BackendSnapshot snapshot =
                registry.snapshot(reading, incarnation -> false).withEvacuated(Set.of("east-a"));
        assertThat(snapshot.reading().ageMillis(1_700)).isEqualTo(700);
        assertThat(snapshot().reading().ageMillis(1_700)).isEqualTo(-1);
    }

    private BackendSnapshot snapshot() {
        return registry.snapshot(ListReading.NONE, incarnation -> false);
    }
}
