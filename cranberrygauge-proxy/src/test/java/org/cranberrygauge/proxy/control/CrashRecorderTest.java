package org.cranberrygauge.proxy.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.cranberrygauge.decision.quarantine.CrashingParts;
import org.cranberrygauge.proxy.exchange.ProxyBlackboard;
import org.cranberrygauge.proxy.store.PartialLog;
import org.cranberrygauge.runtime.event.EventLog;
import org.junit.jupiter.api.Test;

class CrashRecorderTest {

    private final SlowLog log = new SlowLog();

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

    private void start() {
        VirtualTimeline timeline = new VirtualTimeline();
        ControllerContext context =
                new ControllerContext(null, timeline, log, new ProxyBlackboard(), EventLog.NoOp.INSTANCE);
        PeerDirectory peers = new PeerDirectory("host-1", "east");
        CrashExchange exchange = new CrashExchange(
                timeline, peers, new RecordingTransport(), new CrashingParts(), EventLog.NoOp.INSTANCE, new Random(1));
        new CrashRecorder(context, timeline::after, "keyed.crashes", exchange, () -> true).start();
    }

    /** A log that answers a read only when the test wants it. */
    private static final class SlowLog extends PartialLog {

        private final Promise<KeyedValues> newest = Promise.promise();

        private final List<String> stored = new ArrayList<>();

        @Override
        public Future<KeyedValues> newest(String topic) {
            return newest.future();
        }

        @Override
        public Future<Long> put(String topic, String key, byte[] value) {
            stored.add(key);
            return Future.succeededFuture(0L);
        }
    }
}
