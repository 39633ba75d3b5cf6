package org.cranberrygauge.proxy.leader;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;

class UsageLedgerTest {

    private static final long WINDOW_MILLIS = 5_000;

    private static final long RETENTION_MILLIS = 20_000;

    private final UsageLedger ledger = new UsageLedger(WINDOW_MILLIS, RETENTION_MILLIS);

    @Test
    void duplicateAndLateRecordsDoNoHarm() {
        ledger.recordCount(new UsageCount("host-1/1", 7, Map.of("a", 5L)));
        ledger.recordCount(new UsageCount("host-1/1", 7, Map.of("a", 3L)));
        ledger.recordCount(new UsageCount("host-1/1", 7, Map.of("a", 5L)));
        ledger.recordCount(new UsageCount("host-1/2", 7, Map.of("a", 1L)));
        ledger.recordCount(new UsageCount("host-2/1", 7, Map.of("a", 2L, "b", 4L)));
        assertThat(ledger.total(7)).contains(Map.of("a", 8L, "b", 4L));
    }

    @Test
    void reportsTheFirstWindow() {
        assertThat(ledger.firstWindow()).isEqualTo(Long.MAX_VALUE);
        ledger.recordCount(new UsageCount("host-1/1", 9, Map.of("a", 5L)));
        ledger.recordCount(new UsageCount("host-1/1", 8, Map.of("a", 5L)));
        assertThat(ledger.firstWindow()).isEqualTo(8);
    }

    @Test
    void aWindowWithoutCountsHadNoRequestsIfNoRecordWasSkipped() {
        assertThat(ledger.total(7)).contains(Map.of());
    }

    /** Guards against a window whose counts have expired unread, which is reported as one without requests. */
    @Test
    void aWindowWithoutCountsHasNoTotalIfItsRecordsMayHaveExpired() {
        ledger.recordSkipped(100_000);
        assertThat(ledger.total(15)).isEmpty();
        assertThat(ledger.total(16)).contains(Map.of());
    }

    @Test
    void aWindowWithCountsHasATotalThoughRecordsWereSkipped() {
        ledger.recordCount(new UsageCount("host-1/1", 15, Map.of("a", 5L)));
        ledger.recordSkipped(100_000);
        assertThat(ledger.total(15)).contains(Map.of("a", 5L));
    }

    @Test
    void aLogOfUnknownRetentionShowsNothingOfTheTimeBeforeTheRead() {
        UsageLedger unknown = new UsageLedger(WINDOW_MILLIS, 0);
        unknown.recordSkipped(100_000);
        assertThat(unknown.total(19)).isEmpty();
        assertThat(unknown.total(20)).contains(Map.of());
    }
}
