package org.cranberrygauge.proxy.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.model.backend.Supply;
import org.junit.jupiter.api.Test;

class VersionHistoryTest {

    private final VersionHistory history = new VersionHistory();

    @Test
    void theOnlyVersionOfAPoolIsKnown() {
        assertThat(history.onlyVersion("engines")).isEmpty();
        history.record(0, listed("v1", "v1"));
        assertThat(history.onlyVersion("engines")).contains("v1");
        assertThat(history.onlyVersion("ledger")).isEmpty();
    }

    @Test
    void aVersionWhoseServersAreGoneCountsForTheLifetimeOfItsStreams() {
        history.record(0, listed("v1", "v1"));
        history.record(1_000, listed("v1", "v2"));
        history.record(2_000, listed("v2", "v2"));
        assertThat(history.onlyVersion("engines")).isEmpty();
        history.record(60_500, listed("v2", "v2"));
        assertThat(history.onlyVersion("engines")).isEmpty();
        history.record(61_500, listed("v2", "v2"));
        assertThat(history.onlyVersion("engines")).contains("v2");
    }

    private static BackendSnapshot listed(String first, String second) {
        return new BackendSnapshot(List.of(backend("i-1", first), backend("i-2", second)), true);
    }

    private static Backend backend(String id, String version) {
        NetworkAddress address = new NetworkAddress("127.0.0.1", 1);
        return new Backend(id, 1, "engines", address, "east-a", version, 64, false, Supply.REGULAR, 0);
    }
}
