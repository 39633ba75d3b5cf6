package org.cranberrygauge.decision.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.cranberrygauge.decision.usage.UsageLedger.ClosedWindow;
import org.cranberrygauge.model.record.LogRecord.UsageDelta;
import org.cranberrygauge.model.record.LogRecord.WindowClose;
import org.cranberrygauge.model.record.LogRecord.WindowReported;
import org.cranberrygauge.model.record.UsageFigures;
import org.cranberrygauge.model.record.UsageKey;
import org.junit.jupiter.api.Test;

class UsageLedgerTest {

    private static final UsageKey CHAT = new UsageKey("odense-heritage", "field-crew-chat");

    @Test
    void a_window_has_the_same_figures_for_a_second_holder_whose_first_close_is_void() {
        UsageLedger ledger = new UsageLedger();
        ledger.apply(0, delta(1, 5));
        assertThat(ledger.apply(new WindowClose(1, "host-1/1", 7), 7)).isTrue();
        ledger.apply(0, delta(2, 9));
        assertThat(ledger.apply(new WindowClose(1, "host-2/1", 9), 9)).isFalse();
        assertThat(ledger.nextToReport().orElseThrow().figures()).containsEntry(CHAT, new UsageFigures(5, 0, 0));
    }

    @Test
    void a_close_with_an_old_fencing_number_is_void() {
        UsageLedger ledger = new UsageLedger();
        assertThat(ledger.apply(new WindowClose(1, "host-1/1", 7), 9)).isFalse();
        assertThat(ledger.lastClosed()).isZero();
    }

    @Test
    void a_window_is_reported_until_its_acknowledgement_is_in_the_log() {
        UsageLedger ledger = new UsageLedger();
        ledger.apply(0, delta(1, 5));
        ledger.apply(new WindowClose(1, "host-1/1", 7), 7);
        ClosedWindow first = ledger.nextToReport().orElseThrow();
        assertThat(ledger.nextToReport()).contains(first);
        ledger.apply(new WindowReported(1, 7));
        assertThat(ledger.nextToReport()).isEmpty();
    }

    @Property(seed = "20261203", tries = 200)
    void windows_add_up_to_the_counted_usage_wherever_they_are_closed(
            @ForAll @Size(max = 40) List<@IntRange(max = 1) Integer> steps) {
        UsageLedger ledger = new UsageLedger();
        List<ClosedWindow> windows = new ArrayList<>();
        long calls = 0;
        for (int step : steps) {
            if (step == 0) {
                calls++;
                ledger.apply(0, delta(calls, calls));
            } else {
                ledger.apply(new WindowClose(ledger.lastClosed() + 1, "host-1/1", 7), 7);
                windows.add(ledger.nextToReport().orElseThrow());
                ledger.apply(new WindowReported(ledger.lastClosed(), 7));
            }
        }
        long reported = windows.stream()
                .mapToLong(window ->
                        window.figures().getOrDefault(CHAT, UsageFigures.none()).calls())
                .sum();
        long open = ledger.open().getOrDefault(CHAT, UsageFigures.none()).calls();
        assertThat(reported + open).isEqualTo(calls);
    }

    private static UsageDelta delta(long sequence, long calls) {
        return new UsageDelta("host-1/1", sequence, Map.of(CHAT, new UsageFigures(calls, 0, 0)));
    }
}
