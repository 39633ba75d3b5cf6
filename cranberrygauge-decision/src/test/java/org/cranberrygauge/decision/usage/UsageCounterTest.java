package org.cranberrygauge.decision.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.cranberrygauge.model.record.LogRecord.UsageDelta;
import org.cranberrygauge.model.record.UsageFigures;
import org.cranberrygauge.model.record.UsageKey;
import org.junit.jupiter.api.Test;

class UsageCounterTest {

    private static final UsageKey CHAT = new UsageKey("odense-heritage", "field-crew-chat");
    private static final UsageFigures ONE_CALL = new UsageFigures(1, 10, 20);

    private final UsageCounter counter = new UsageCounter("host-1/1");

    @Test
    void usage_counted_while_a_delta_is_in_flight_makes_the_next_one_due() {
        counter.count(CHAT, ONE_CALL);
        UsageDelta first = counter.next();
        counter.count(CHAT, ONE_CALL);
        counter.confirm(first);
        assertThat(counter.isDirty()).isTrue();
        assertThat(counter.next().totals()).containsEntry(CHAT, new UsageFigures(2, 20, 40));
    }

    @Test
    void a_confirmed_delta_leaves_nothing_to_send() {
        counter.count(CHAT, ONE_CALL);
        counter.confirm(counter.next());
        assertThat(counter.isDirty()).isFalse();
        assertThat(counter.unconfirmed()).isEmpty();
    }

    @Test
    void an_append_that_failed_and_is_in_the_log_later_counts_once() {
        UsageLedger ledger = new UsageLedger();
        counter.count(CHAT, ONE_CALL);
        UsageDelta failed = counter.next();
        counter.fail();
        counter.count(CHAT, ONE_CALL);
        UsageDelta repeated = counter.next();
        ledger.apply(0, repeated);
        ledger.apply(0, failed);
        assertThat(ledger.open()).containsEntry(CHAT, new UsageFigures(2, 20, 40));
    }

    @Test
    void no_call_is_lost_while_many_threads_count_and_one_takes_deltas() throws InterruptedException {
        UsageLedger ledger = new UsageLedger();
        List<Thread> threads = new ArrayList<>();
        for (int thread = 0; thread < 4; thread++) {
            threads.add(new Thread(() -> {
                for (int call = 0; call < 5_000; call++) {
                    counter.count(CHAT, ONE_CALL);
                }
            }));
        }
        threads.forEach(Thread::start);
        while (threads.stream().anyMatch(Thread::isAlive) || counter.isDirty()) {
            UsageDelta delta = counter.next();
            ledger.apply(0, delta);
            counter.confirm(delta);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        assertThat(ledger.open()).containsEntry(CHAT, new UsageFigures(20_000, 200_000, 400_000));
    }

    @Property(seed = "20261203", tries = 200)
    void a_ledger_has_the_counted_total_whichever_deltas_are_lost_or_repeated(
            @ForAll @Size(max = 40) List<@IntRange(max = 3) Integer> steps) {
        UsageCounter counted = new UsageCounter("host-2/1");
        UsageLedger ledger = new UsageLedger();
        List<UsageDelta> sent = new ArrayList<>();
        for (int step : steps) {
            counted.count(CHAT, ONE_CALL);
            if (step == 0) {
                counted.next();
                counted.fail();
            } else if (step == 1) {
                sent.add(counted.next());
                ledger.apply(0, sent.get(sent.size() - 1));
                counted.confirm(sent.get(sent.size() - 1));
            } else if (step == 2) {
                sent.forEach(delta -> ledger.apply(0, delta));
            }
        }
        ledger.apply(0, counted.next());
        assertThat(ledger.open().getOrDefault(CHAT, UsageFigures.none()).calls())
                .isEqualTo(steps.size());
    }
}
