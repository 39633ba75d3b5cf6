package org.cranberrygauge.proxy.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.cranberrygauge.model.backend.Supply;
import org.cranberrygauge.proxy.ProxyFixtures;
import org.junit.jupiter.api.Test;

class BackendRegistryTest {

    private final BackendRegistry registry = new BackendRegistry();

    private final Backend first = ProxyFixtures.backend("first");

    @Test
    void aRemovedEntryIsGoneAtOnceInNormalOperation() {
        registry.recordRead(1_000);
        registry.put(first);
        registry.recordRead(1_500);
        registry.remove(1_500, "first");
        assertThat(registry.snapshot(1_500, incarnation -> false).all()).isEmpty();
    }

    @Test
    void anEntryThatExpiredInAnOutageIsRetainedForTheRegistrationTime() {
        registry.recordRead(1_000);
        registry.put(first);
        registry.recordRead(6_000);
        registry.remove(6_000, "first");
        assertThat(registry.snapshot(7_999, incarnation -> false).ready("engines"))
                .containsExactly(first);
        assertThat(registry.snapshot(8_000, incarnation -> false).all()).isEmpty();
    }

    @Test
    void anEntryThatIsRegisteredAgainAfterAnOutageStays() {
        registry.recordRead(1_000);
        registry.put(first);
        registry.recordRead(6_000);
        registry.remove(6_000, "first");
        registry.put(first);
        assertThat(registry.snapshot(9_000, incarnation -> false).ready("engines"))
                .containsExactly(first);
    }

    @Test
    void anEntryMissingFromTheFirstListAfterAnOutageIsRetainedForTheRegistrationTime() {
        registry.recordRead(1_000);
        registry.put(first);
        registry.recordRead(6_000);
        registry.replaceEntries(6_000, Map.of());
        assertThat(registry.snapshot(7_000, incarnation -> false).all()).containsExactly(first);
        assertThat(registry.snapshot(8_000, incarnation -> false).all()).isEmpty();
    }

    @Test
    void anOlderCopyOfTheStoreBringsNeitherALeavingServerBackNorOneThatWasRemoved() {
        Backend second = ProxyFixtures.backend("second");
        registry.recordRead(1_000);
        registry.put(first.withLeaving());
        registry.put(second);
        registry.recordRead(1_500);
        registry.remove(1_500, "second");
        registry.recordRollback(2_000);
        registry.replaceEntries(2_000, Map.of("first", first, "second", second));
        assertThat(registry.snapshot(2_000, incarnation -> false).all()).containsExactly(first.withLeaving());
        registry.put(second);
        assertThat(registry.snapshot(2_100, incarnation -> false).ready("engines"))
                .containsExactly(second);
    }

    @Test
    void aServerThatRegisteredAgainAfterItsRemovalIsTakenFromAnOlderCopy() {
        registry.recordRead(1_000);
        registry.put(first);
        registry.remove(1_000, "first");
        registry.put(first);
        registry.recordRollback(2_000);
        registry.replaceEntries(2_000, Map.of("first", first));
        assertThat(registry.snapshot(2_000, incarnation -> false).ready("engines"))
                .containsExactly(first);
    }

    @Test
    void anEntryThatAnOlderCopyOfTheStoreLacksIsRetainedForTheRegistrationTime() {
        registry.recordRead(1_000);
        registry.put(first);
        registry.recordRollback(1_500);
        registry.replaceEntries(1_500, Map.of());
        assertThat(registry.snapshot(3_499, incarnation -> false).all()).containsExactly(first);
        assertThat(registry.snapshot(3_500, incarnation -> false).all()).isEmpty();
    }

    @Test
    void aDrainingBackendServerGetsNoNewRequestsAndIsNotRetainedAfterAnOutage() {
        Backend leaving = ProxyFixtures.backend("first", "engines", "east-a", true, Supply.REGULAR);
        registry.recordRead(1_000);
        registry.put(leaving);
        assertThat(registry.snapshot(1_000, incarnation -> false).ready("engines"))
                .isEmpty();
        assertThat(registry.snapshot(1_000, incarnation -> false).lists(leaving.incarnation()))
                .isTrue();
        registry.recordRead(6_000);
        registry.remove(6_000, "first");
        assertThat(registry.snapshot(6_000, incarnation -> false).all()).isEmpty();
    }

    @Test
    void aDiscardedEntryDoesNotAffectTheOthers() {
        Backend second = ProxyFixtures.backend("second");
        registry.recordRead(1_000);
        registry.put(first);
        registry.put(second);
        registry.discard("first");
        assertThat(registry.snapshot(1_000, incarnation -> false).all()).containsExactly(second);
    }

    @Test
    void theListIsUnknownBeforeTheFirstRead() {
        assertThat(registry.snapshot(0, incarnation -> false).known()).isFalse();
        registry.recordRead(1);
        assertThat(registry.snapshot(1, incarnation -> false).known()).isTrue();
    }
}
