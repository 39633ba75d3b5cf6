package org.cranberrygauge.proxy.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import org.cranberrygauge.decision.quarantine.CrashingParts;
import org.cranberrygauge.proxy.exchange.ProxyBlackboard;
import org.cranberrygauge.proxy.store.KeyedRecord;
import org.cranberrygauge.proxy.store.PartialLog;
import org.cranberrygauge.proxy.store.SharedLogException;
import org.cranberrygauge.proxy.store.SharedLogException.Kind;
import org.cranberrygauge.runtime.event.EventLog;
import org.junit.jupiter.api.Test;

class CrashRecorderTest {

    private final SlowLog log = new SlowLog();

    private final VirtualTimeline timeline = new VirtualTimeline();

    /** Guards against a host that has just started and replaces the crashes that are stored by those that it knows, none. */
    @Test
    void nothingIsStoredBeforeWhatEarlierProcessesStoredWasRead() {
        start();
        log.era().observe(1);
        log.era().observe(2);
        assertThat(log.stored).isEmpty();
        log.newest.complete(new SlowLog.KeyedValues(Map.of(), 0));
        assertThat(log.stored).containsExactly("blocked");
    }

    /** Guards against an older record that the log stores late, after a newer one. */
    @Test
    void aWriteThatIsCarriedOutLateReplacesNoLaterOne() {
        start();
        log.newest.complete(new SlowLog.KeyedValues(Map.of(), 0));
        log.withheld = 1;
        log.era().observe(1);
        log.era().observe(2);
        timeline.advance(1_000);
        assertThat(log.stored).containsExactly("blocked");
        log.late.forEach(Runnable::run);
        assertThat(log.stored).containsExactly("blocked");
    }

    /** Guards against a host that replaces what another one has stored since it last read. */
    @Test
    void aHostReadsAgainWhatAnotherHostHasStoredMeanwhile() {
        start();
        log.newest.complete(new SlowLog.KeyedValues(Map.of(), 0));
        log.withheld = 1;
        log.era().observe(1);
        log.era().observe(2);
        log.stored.add("of another host");
        log.reads = 0;
        timeline.advance(1_000);
        assertThat(log.reads).isEqualTo(1);
        assertThat(log.stored).containsExactly("of another host", "blocked");
    }

    private void start() {
        ControllerContext context =
                new ControllerContext(null, timeline, log, new ProxyBlackboard(), EventLog.NoOp.INSTANCE);
        PeerDirectory peers = new PeerDirectory("host-1", "east");
        CrashExchange exchange = new CrashExchange(
                timeline, peers, new RecordingTransport(), new CrashingParts(), EventLog.NoOp.INSTANCE, new Random(1));
        new CrashRecorder(context, timeline::after, "keyed.crashes", exchange, () -> true).start();
    }

    /** A log that answers the first read only when the test wants it, and carries out some writes late. */
    private static final class SlowLog extends PartialLog {

        private final Promise<KeyedValues> newest = Promise.promise();

        private final List<String> stored = new ArrayList<>();

        /** The writes that get no response, to be carried out late. */
        private final List<Runnable> late = new ArrayList<>();

        /** The number of next writes that get no response. */
        private int withheld;

        private int reads;

        @Override
        public Future<KeyedValues> newest(String topic) {
            reads++;
            return newest.future().map(first -> new KeyedValues(Map.of(), stored.size()));
        }

        @Override
        public Future<Long> put(String topic, String key, byte[] value) {
            return append(topic, new KeyedRecord(key, Optional.of(value)).bytes(), OptionalLong.empty());
        }

        @Override
        public Future<Long> append(String topic, byte[] record, OptionalLong expectedEnd) {
            if (withheld > 0) {
                withheld--;
                late.add(() -> append(topic, record, expectedEnd));
                return Future.failedFuture(new SharedLogException(Kind.NO_ANSWER, "lost"));
            }
            if (expectedEnd.isPresent() && expectedEnd.getAsLong() != stored.size()) {
                return Future.failedFuture(new SharedLogException(Kind.CONFLICT, "end"));
            }
            stored.add(KeyedRecord.parse(record).orElseThrow().key());
            return Future.succeededFuture(stored.size() - 1L);
        }
    }
}
