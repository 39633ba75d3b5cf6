package org.cranberrygauge.proxy.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.protocol.generated.HostMessage;
import org.cranberrygauge.proxy.exchange.ProxyBlackboard;
import org.cranberrygauge.proxy.store.Confirmation;
import org.cranberrygauge.proxy.store.KeyedRecord;
import org.cranberrygauge.proxy.store.LogAvailability;
import org.cranberrygauge.proxy.store.PartialLog;
import org.cranberrygauge.proxy.store.SharedLogException;
import org.cranberrygauge.runtime.event.EventLog;
import org.cranberrygauge.runtime.time.TimeSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against records that a follower skips or keeps after the log has come back from an older copy. */
class TopicFollowerTest {

    private static final String TOPIC = "keyed.records";

    private static final long TIMEOUT_SECONDS = 10;

    /** The value of records that the listener fails on. */
    private static final String FAILING = "failing";

    private final Vertx vertx = Vertx.vertx();

    private final RewindingLog log = new RewindingLog();

    /** What the follower knows, by key. */
    private final Map<String, String> known = new TreeMap<>();

    @AfterEach
    void close() {
        vertx.close();
    }

    @Test
    void aLogThatWasCutAndHasGrownBeyondTheCursorIsReadAnew() throws Exception {
        log.appendNumbered("old", 0, 500);
        TopicFollower follower = follower();
        poll(follower);
        log.appendNumbered("old", 500, 505);
        poll(follower);
        assertThat(known).hasSize(505);
        log.rewind(450);
        log.appendNumbered("new", 450, 520);
        poll(follower);
        poll(follower);
        assertThat(known).isEqualTo(log.newestValues());
    }

    /** Guards against hosts that stop following a topic because of one record. */
    @Test
    void theRecordsAfterOneThatAListenerFailsOnAreReceived() throws Exception {
        log.appendNumbered("old", 0, 5);
        TopicFollower follower = follower();
        poll(follower);
        log.appendNumbered(FAILING, 5, 6);
        log.appendNumbered("new", 6, 9);
        poll(follower);
        log.appendNumbered("newer", 9, 10);
        poll(follower);
        assertThat(known.keySet()).containsExactlyInAnyOrder("0", "1", "2", "3", "4", "6", "7", "8", "9");
    }

    /** Guards against removed servers that a list brings back which is older than what the host has read. */
    @Test
    void aListThatEndsBeforeWhatWasReadBringsNothingBack() throws Exception {
        log.appendNumbered("old", 0, 5);
        TopicFollower follower = follower();
        poll(follower);
        log.appendNumbered("new", 0, 5);
        poll(follower);
        log.trimmed = true;
        log.stale = 5;
        poll(follower);
        poll(follower);
        assertThat(known).isEqualTo(log.newestValues());
        log.stale = 0;
        log.appendNumbered("newer", 0, 1);
        poll(follower);
        assertThat(known).isEqualTo(log.newestValues());
    }

    /** Guards against direct reads of all records, once for each part that another host passes on. */
    @Test
    void anOverdueHostReadsTheLogOnceWhileItReceivesManyRecordsOfAnother() {
        ListingFleet fleet = new ListingFleet(2, 3_000, 1);
        fleet.advance(3_000);
        fleet.hosts().get(1).cutOff(6_000);
        fleet.after(5_000, () -> {
            for (int server = 0; server < 200; server++) {
                fleet.list("server-" + server + "-" + "x".repeat(200));
            }
        });
        fleet.advance(6_000);
        int before = fleet.hosts().get(1).log().reads;
        fleet.advance(1_000);
        assertThat(fleet.hosts().get(1).lists("server-199-" + "x".repeat(200))).isTrue();
        assertThat(fleet.hosts().get(1).log().reads - before).isLessThanOrEqualTo(2);
    }

    private TopicFollower follower() {
        ControllerContext context = new ControllerContext(
                vertx, TimeSource.System.INSTANCE, log, new ProxyBlackboard(), EventLog.NoOp.INSTANCE);
        TopicRelay relay = new TopicRelay(
                context, new PeerDirectory("host-1", "east"), new NoTransport(), new LogAvailability(2_400));
        return new TopicFollower(
                context, relay, TOPIC, new PollSettings(0, 600_000, 1_000, 250, 600_000, 600_000, 800), new Recorder());
    }

    /** Polls on an event loop and waits until the result has been applied or dropped. */
    private void poll(TopicFollower follower) throws Exception {
        CountDownLatch polled = new CountDownLatch(1);
        vertx.runOnContext(run -> {
            follower.poll();
            polled.countDown();
        });
        assertThat(polled.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
    }

    /** Keeps the newest values. */
    private final class Recorder implements TopicFollower.Listener {

        @Override
        public void onSnapshot(Map<String, byte[]> values) {
            known.clear();
            values.forEach((key, value) -> known.put(key, new String(value, StandardCharsets.UTF_8)));
        }

        @Override
        public void onRecord(KeyedRecord record, long offset) {
            if (FAILING.equals(new String(record.value().orElseThrow(), StandardCharsets.UTF_8))) {
                throw new IllegalStateException("fails on this record");
            }
            known.put(record.key(), new String(record.value().orElseThrow(), StandardCharsets.UTF_8));
        }

        @Override
        public void onConfirmed(Confirmation confirmation, boolean relayed) {}
    }

    /** A host without others. */
    private static final class NoTransport implements MessageTransport {

        @Override
        public void onMessage(HostMessage._Fields kind, BiConsumer<HostMessage, NetworkAddress> handler) {}

        @Override
        public void send(HostMessage message, Collection<NetworkAddress> receivers) {}
    }

    /** A log whose responses are complete when a call returns, and that can return to an older copy of itself. */
    private static final class RewindingLog extends PartialLog {

        private final List<KeyedRecord> records = new ArrayList<>();

        /** The number of records that a list lacks. */
        private int stale;

        /** Whether records can be read only by a list. */
        private boolean trimmed;

        RewindingLog() {
            era().observe(1);
        }

        /** Appends a record for each number, under the number as its key. */
        void appendNumbered(String value, int from, int to) {
            for (int number = from; number < to; number++) {
                String key = Integer.toString(number);
                records.add(new KeyedRecord(key, Optional.of(value.getBytes(StandardCharsets.UTF_8))));
            }
        }

        void rewind(int end) {
            records.subList(end, records.size()).clear();
            era().observe(era().newest() + 1);
        }

        Map<String, String> newestValues() {
            Map<String, String> values = new TreeMap<>();
            records.forEach(record ->
                    values.put(record.key(), new String(record.value().orElseThrow(), StandardCharsets.UTF_8)));
            return values;
        }

        @Override
        public Future<KeyedValues> newest(String topic) {
            Map<String, byte[]> values = new HashMap<>();
            List<KeyedRecord> listed = records.subList(0, records.size() - stale);
            listed.forEach(record -> values.put(record.key(), record.value().orElseThrow()));
            return Future.succeededFuture(new KeyedValues(values, listed.size()));
        }

        @Override
        public Future<LogSlice> read(String topic, long from, long waitMillis) {
            if (trimmed) {
                return Future.failedFuture(new SharedLogException(SharedLogException.Kind.TRIMMED, "trimmed"));
            }
            List<byte[]> read =
                    records.stream().skip(from).map(KeyedRecord::bytes).toList();
            return Future.succeededFuture(new LogSlice(records.size(), from + read.size(), read));
        }
    }
}
