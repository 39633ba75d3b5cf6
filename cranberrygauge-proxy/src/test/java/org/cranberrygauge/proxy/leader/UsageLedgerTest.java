package org.cranberrygauge.proxy.leader;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;

class UsageLedgerTest {

    private final UsageLedger ledger = new UsageLedger();

    @Test
    void duplicateAndLateRecordsDoNoHarm() {
        ledger.recordCount(new UsageCount("host-1/1", 7, Map.of("a", 5L)));
        ledger.recordCount(new UsageCount("host-1/1", 7, Map.of("a", 3L)));
        ledger.recordCount(new UsageCount("host-1/1", 7, Map.of("a", 5L)));
        ledger.recordCount(new UsageCount("host-1/2", 7, Map.of("a", 1L)));
        ledger.recordCount(new UsageCount("host-2/1", 7, Map.of("a", 2L, "b", 4L)));
        assertThat(ledger.total(7)).isEqualTo(Map.of("a", 8L, "b", 4L));
    }

    @Test
    void theFirstDecidedFiguresAreFinal() {
        ledger.recordDecided(7, Map.of("a", 1L));
        ledger.recordDecided(7, Map.of("a", 2L));
        assertThat(ledger.decidedFigures(7)).isEqualTo(Map.of("a", 1L));
        assertThat(ledger.decidedFigures(8)).isNull();
    }

    @Test
    void reportsTheFirstWindow() {
        assertThat(ledger.firstWindow()).isEqualTo(Long.MAX_VALUE);
        ledger.recordCount(new UsageCount("host-1/1", 9, Map.of("a", 5L)));
        ledger.recordDecided(8, Map.of());
        assertThat(ledger.firstWindow()).isEqualTo(8);
    }
}
