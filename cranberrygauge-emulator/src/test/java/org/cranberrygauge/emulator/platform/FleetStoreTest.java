package org.cranberrygauge.emulator.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.cranberrygauge.model.backend.BackendKind;
import org.cranberrygauge.model.backend.BackendServer;
import org.cranberrygauge.model.backend.HostState;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.model.backend.Supply;
import org.cranberrygauge.protocol.platform.Platform.Order;
import org.junit.jupiter.api.Test;

class FleetStoreTest {

    private static final String POOL = "east-a/amber-large/cheap";

    private final FleetStore store = new FleetStore(true, 10, new WeightStore(100));

    @Test
    void startsOrderedServersOneAtATimeBecauseOfTheWeightStore() {
        store.register(POOL, server("one"));
        store.register(POOL, server("two"));
        store.order(0, new Order("order", 1, POOL, 2, 1_000));

        assertThat(liveAt(109)).isZero();
        assertThat(liveAt(110)).isEqualTo(1);
        assertThat(liveAt(210)).isEqualTo(2);
    }

    @Test
    void listsALeavingServer() {
        store.register(POOL, server("one"));
        store.order(0, new Order("order", 1, POOL, 1, 1_000));

        store.setLeaving("one", true);
        assertThat(store.list(500).get(0).state()).isEqualTo(HostState.LEAVING);
        store.setLeaving("one", false);
        assertThat(store.list(500).get(0).state()).isEqualTo(HostState.LIVE);
    }

    @Test
    void rejectsAnOldFencingNumber() {
        store.order(0, new Order("new", 2, POOL, 0, 1_000));

        assertThat(store.order(0, new Order("old", 1, POOL, 1, 1_000)).result()).isEqualTo("fenced");
    }

    private long liveAt(long nowMillis) {
        return store.list(nowMillis).stream()
                .filter(listed -> listed.state() == HostState.LIVE)
                .count();
    }

    private static BackendServer server(String name) {
        return new BackendServer(
                name,
                new NetworkAddress("127.0.0.1", 1),
                "east-a",
                BackendKind.MODEL,
                Set.of("amber-large"),
                Supply.CHEAP,
                8,
                true);
    }
}
