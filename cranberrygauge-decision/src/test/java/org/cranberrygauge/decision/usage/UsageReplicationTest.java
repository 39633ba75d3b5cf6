package org.cranberrygauge.decision.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.Set;
import org.cranberrygauge.model.record.LogRecord.UsageDelta;
import org.cranberrygauge.model.record.UsageFigures;
import org.cranberrygauge.model.record.UsageKey;
import org.junit.jupiter.api.Test;

class UsageReplicationTest {

    private static final String GATEWAY = "host-1/1";
    private static final UsageKey CHAT = new UsageKey("odense-heritage", "field-crew-chat");
    private static final UsageKey STUDY = new UsageKey("odense-heritage", "overnight-study");
    private static final UsageFigures ONE_CALL = new UsageFigures(1, 10, 20);

    private final UsageCounter counter = new UsageCounter(GATEWAY);
    private final UsageCopies copies = new UsageCopies(2, 10_000);
    private final UsageLedger ledger = new UsageLedger();

    @Test
    void usage_of_a_gateway_killed_in_a_log_outage_is_appended_by_its_peer() {
        countAndKill(new UsageReplication.ToOnePeer(GATEWAY, counter, 64));
        copies.due(2_000, ledger, Set.of()).forEach(delta -> ledger.apply(0, delta));
        assertThat(ledger.open()).containsEntry(CHAT, ONE_CALL);
    }

    @Test
    void without_copies_the_usage_of_the_killed_gateway_is_lost() {
        countAndKill(UsageReplication.Disabled.INSTANCE);
        assertThat(copies.due(2_000, ledger, Set.of())).isEmpty();
    }

    @Test
    void a_copy_is_not_appended_while_its_gateway_is_a_member_and_reports() {
        countAndKill(new UsageReplication.ToOnePeer(GATEWAY, counter, 64));
        assertThat(copies.due(2_000, ledger, Set.of(GATEWAY))).isEmpty();
    }

    @Test
    void a_copy_is_appended_once_its_gateway_is_silent_although_it_did_not_leave_according_to_the_log() {
        countAndKill(new UsageReplication.ToOnePeer(GATEWAY, counter, 64));
        assertThat(copies.due(12_000, ledger, Set.of(GATEWAY))).hasSize(1);
    }

    @Test
    void a_copy_that_the_gateway_logged_itself_is_dropped_and_changes_nothing() {
        countAndKill(new UsageReplication.ToOnePeer(GATEWAY, counter, 64));
        UsageDelta own = counter.next();
        ledger.apply(0, own);
        assertThat(copies.due(12_000, ledger, Set.of())).isEmpty();
        assertThat(copies.keys()).isZero();
        assertThat(ledger.open()).containsEntry(CHAT, ONE_CALL);
    }

    @Test
    void a_copy_stays_due_until_the_log_has_it() {
        countAndKill(new UsageReplication.ToOnePeer(GATEWAY, counter, 64));
        assertThat(copies.due(2_000, ledger, Set.of())).hasSize(1);
        assertThat(copies.due(3_000, ledger, Set.of())).hasSize(1);
    }

    @Test
    void a_figure_is_copied_again_only_once_it_changed() {
        UsageReplication replication = new UsageReplication.ToOnePeer(GATEWAY, counter, 64);
        counter.count(CHAT, ONE_CALL);
        replication.answered("peer", Optional.empty());
        replication.answered("peer", replication.next("peer"));
        assertThat(replication.next("peer")).isEmpty();
        counter.count(CHAT, ONE_CALL);
        assertThat(replication.next("peer")).isPresent();
    }

    @Test
    void a_new_holder_gets_all_that_is_not_in_the_log() {
        UsageReplication replication = new UsageReplication.ToOnePeer(GATEWAY, counter, 64);
        counter.count(CHAT, ONE_CALL);
        replication.answered("first", Optional.empty());
        replication.answered("first", replication.next("first"));
        replication.failed("first");
        replication.answered("second", Optional.empty());
        assertThat(replication.next("second").orElseThrow().totals()).containsEntry(CHAT, ONE_CALL);
    }

    @Test
    void a_copy_has_a_bounded_number_of_keys_and_the_rest_follows() {
        UsageReplication replication = new UsageReplication.ToOnePeer(GATEWAY, counter, 1);
        counter.count(CHAT, ONE_CALL);
        counter.count(STUDY, ONE_CALL);
        replication.answered("peer", Optional.empty());
        for (int exchange = 0; exchange < 2; exchange++) {
            Optional<UsageDelta> copy = replication.next("peer");
            assertThat(copy.orElseThrow().totals()).hasSize(1);
            copies.hold(0, copy.orElseThrow());
            replication.answered("peer", copy);
        }
        assertThat(copies.keys()).isEqualTo(2);
    }

    @Test
    void a_full_store_refuses_a_copy_so_that_the_sender_finds_another_holder() {
        counter.count(CHAT, ONE_CALL);
        counter.count(STUDY, ONE_CALL);
        assertThat(copies.hold(0, counter.next())).isTrue();
        UsageCounter other = new UsageCounter("host-2/1");
        other.count(CHAT, ONE_CALL);
        assertThat(copies.hold(0, other.next())).isFalse();
    }

    private void countAndKill(UsageReplication replication) {
        replication.answered("peer", Optional.empty());
        counter.count(CHAT, ONE_CALL);
        replication.next("peer").ifPresent(copy -> copies.hold(1_000, copy));
    }
}
