package org.cranberrygauge.proxy.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.cranberrygauge.model.backend.Supply;
import org.cranberrygauge.proxy.ProxyFixtures;
import org.junit.jupiter.api.Test;

class BackendRegistryTest {

    private final BackendRegistry register = new BackendRegistry();

    private final Backend first = ProxyFixtures.backend("first");

    @Test
    void aRemovedEntryIsGoneAtOnceInCalmTimes() {
        register.reached(1_000);
        register.put(first);
        register.reached(1_500);
        register.remove(1_500, "first");
        assertThat(register.catalogue(1_500).all()).isEmpty();
    }

    @Test
    void anEntryThatLapsedInAnOutageStaysForTheTimeOfRegistration() {
        register.reached(1_000);
        register.put(first);
        register.reached(6_000);
        register.remove(6_000, "first");
        assertThat(register.catalogue(7_999).ready("engines")).containsExactly(first);
        assertThat(register.catalogue(8_000).all()).isEmpty();
    }

    @Test
    void anEntryThatComesBackAfterAnOutageHolds() {
        register.reached(1_000);
        register.put(first);
        register.reached(6_000);
        register.remove(6_000, "first");
        register.put(first);
        assertThat(register.catalogue(9_000).ready("engines")).containsExactly(first);
    }

    @Test
    void anEntryMissingFromAWholeListAfterAnOutageIsTreatedAlike() {
        register.reached(1_000);
        register.put(first);
        register.reached(6_000);
        register.replaceAll(6_000, Map.of());
        assertThat(register.catalogue(7_000).all()).containsExactly(first);
        assertThat(register.catalogue(8_000).all()).isEmpty();
    }

    @Test
    void aLeavingBackendServerGetsNoNewWorkAndIsNotKeptAfterAnOutage() {
        Backend leaving = ProxyFixtures.backend("first", "engines", "east-a", true, Supply.REGULAR);
        register.reached(1_000);
        register.put(leaving);
        assertThat(register.catalogue(1_000).ready("engines")).isEmpty();
        assertThat(register.catalogue(1_000).lists(leaving.incarnation())).isTrue();
        register.reached(6_000);
        register.remove(6_000, "first");
        assertThat(register.catalogue(6_000).all()).isEmpty();
    }

    @Test
    void anUnreadableEntryNamesNoBackendServerAndTheOthersHold() {
        Backend second = ProxyFixtures.backend("second");
        register.reached(1_000);
        register.put(first);
        register.put(second);
        register.drop("first");
        assertThat(register.catalogue(1_000).all()).containsExactly(second);
    }

    @Test
    void theListIsUnknownBeforeTheFirstRead() {
        assertThat(register.catalogue(0).known()).isFalse();
        register.reached(1);
        assertThat(register.catalogue(1).known()).isTrue();
    }
}
