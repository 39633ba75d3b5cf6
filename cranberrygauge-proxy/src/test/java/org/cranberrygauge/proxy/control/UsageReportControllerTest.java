package org.cranberrygauge.proxy.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.cranberrygauge.protocol.generated.UsageBatch;
import org.cranberrygauge.protocol.generated.UsageCounted;
import org.cranberrygauge.proxy.exchange.ProxyBlackboard;
import org.cranberrygauge.proxy.leader.BackendOrder;
import org.cranberrygauge.proxy.leader.ControlPlaneClient;
import org.cranberrygauge.proxy.store.LogAvailability;
import org.cranberrygauge.proxy.store.PartialLog;
import org.cranberrygauge.runtime.event.EventLog;
import org.cranberrygauge.runtime.time.TimeSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class UsageReportControllerTest {

    private static final long WINDOW_MILLIS = 10_000;

    private static final long LEASE_MILLIS = 3_000;

    /** The number of records that one read returns at most. */
    private static final int PAGE = 3;

    private final Vertx vertx = Vertx.vertx();

    private final SettableTime time = new SettableTime();

    private final PagedLog log = new PagedLog();

    @AfterEach
    void close() {
        vertx.close();
    }

    /** Guards against figures of a window that are final though only the first part of the counts was read. */
    @Test
    void aWindowIsDecidedOnceAllCountsHaveBeenRead() throws Exception {
        for (long host = 0; host < 2 * PAGE + 1; host++) {
            UsageCounted counted = new UsageCounted("host-" + host, 100, Map.of("customer", 1L));
            log.add(UsageCountWriter.TOPIC, MessageCodec.write(new UsageBatch(List.of(counted))));
        }
        assertThat(firstReport()).isEqualTo(Map.of("customer", 2L * PAGE + 1));
    }

    /** Lets a host that started within window 100 become the leader after it, and returns what it reports first. */
    private Map<String, Long> firstReport() throws Exception {
        FirstReport report = new FirstReport();
        ControllerContext context =
                new ControllerContext(vertx, time, log, new ProxyBlackboard(), EventLog.NoOp.INSTANCE);
        vertx.runOnContext(run -> {
            TopicRelay relay = new TopicRelay(
                    context, new PeerDirectory("host-1", "east"), new RecordingTransport(), new LogAvailability(2_400));
            LeaderElection election = new LeaderElection(context, relay, "host-1@1", LEASE_MILLIS);
            time.set(100 * WINDOW_MILLIS + 1);
            election.start();
            new UsageReportController(
                            context,
                            (millis, action) -> vertx.setTimer(millis, fired -> action.run()),
                            election,
                            report,
                            "keyed.usage-decided",
                            new UsageMetrics(new PrometheusRegistry()),
                            new UsageTimes(WINDOW_MILLIS, 0))
                    .start();
            time.set(101 * WINDOW_MILLIS + LEASE_MILLIS);
        });
        return report.figures.get(10, TimeUnit.SECONDS);
    }

    /** A time that begins at 0 and runs on from where it was set last. */
    private static final class SettableTime implements TimeSource {

        /** The difference between this time and the monotonic time of the system. */
        private volatile long offsetMillis = -System.INSTANCE.monotonicMillis();

        void set(long millis) {
            offsetMillis = millis - System.INSTANCE.monotonicMillis();
        }

        @Override
        public long monotonicMillis() {
            return System.INSTANCE.monotonicMillis() + offsetMillis;
        }

        @Override
        public long wallMillis() {
            return monotonicMillis();
        }
    }

    /** Keeps the figures of the first report. */
    private static final class FirstReport implements ControlPlaneClient {

        private final CompletableFuture<Map<String, Long>> figures = new CompletableFuture<>();

        @Override
        public Future<ControlPlaneOutcome> reportUsage(
                long fencingToken, long usageWindow, Map<String, Long> byCustomer) {
            figures.complete(Map.copyOf(byCustomer));
            return Future.succeededFuture(ControlPlaneOutcome.ACCEPTED);
        }

        @Override
        public Future<ControlPlaneOutcome> order(long fencingToken, BackendOrder order) {
            throw new UnsupportedOperationException();
        }
    }

    /** A log whose reads return a few records at a time, and whose group has one member. Used on one event loop. */
    private static final class PagedLog extends PartialLog {

        private final Map<String, List<byte[]>> topics = new HashMap<>();

        void add(String topic, byte[] record) {
            topics.computeIfAbsent(topic, name -> new ArrayList<>()).add(record);
        }

        @Override
        public Future<Long> append(String topic, byte[] record, OptionalLong expectedEnd) {
            add(topic, record);
            return Future.succeededFuture(topics.get(topic).size() - 1L);
        }

        @Override
        public Future<LogSlice> read(String topic, long fromOffset, long waitMillis) {
            List<byte[]> all = topics.getOrDefault(topic, List.of());
            List<byte[]> page = all.stream().skip(fromOffset).limit(PAGE).toList();
            return Future.succeededFuture(new LogSlice(all.size(), fromOffset + page.size(), page));
        }

        @Override
        public Future<KeyedValues> newest(String topic) {
            return Future.succeededFuture(new KeyedValues(
                    Map.of(), topics.getOrDefault(topic, List.of()).size()));
        }

        @Override
        public Future<GroupAssignment> join(
                String group, String member, String topic, long lifetimeMillis, long generation) {
            return Future.succeededFuture(new GroupAssignment(0, 1, true));
        }
    }
}
