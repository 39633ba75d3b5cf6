package org.cranberrygauge.proxy.leader;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;

class UsageLedgerTest {

    private final UsageLedger ledger = new UsageLedger();

    @Test
    void copiesAndLateRecordsDoNoHarm() {
        ledger.counted(new UsageCount("host-1/1", 7, Map.of("a", 5L)));
        ledger.counted(new UsageCount("host-1/1", 7, Map.of("a", 3L)));
        ledger.counted(new UsageCount("host-1/1", 7, Map.of("a", 5L)));
        ledger.counted(new UsageCount("host-1/2", 7, Map.of("a", 1L)));
        ledger.counted(new UsageCount("host-2/1", 7, Map.of("a", 2L, "b", 4L)));
        assertThat(ledger.total(7)).isEqualTo(Map.of("a", 8L, "b", 4L));
    }

    @Test
    void theFirstFixedFiguresStand() {
        ledger.decided(7, Map.of("a", 1L));
        ledger.decided(7, Map.of("a", 2L));
        assertThat(ledger.decidedFor(7)).isEqualTo(Map.of("a", 1L));
        assertThat(ledger.decidedFor(8)).isNull();
    }

    @Test
    void knowsTheFirstWindow() {
        assertThat(ledger.firstWindow()).isEqualTo(Long.MAX_VALUE);
        ledger.counted(new UsageCount("host-1/1", 9, Map.of("a", 5L)));
        ledger.decided(8, Map.of());
        assertThat(ledger.firstWindow()).isEqualTo(8);
    }
}
