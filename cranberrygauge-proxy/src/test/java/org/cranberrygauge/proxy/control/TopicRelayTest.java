package org.cranberrygauge.proxy.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.apache.thrift.TException;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.protocol.generated.HostMessage;
import org.cranberrygauge.protocol.generated.HostReport;
import org.cranberrygauge.proxy.exchange.ProxyBlackboard;
import org.cranberrygauge.proxy.store.Confirmation;
import org.cranberrygauge.proxy.store.LogAvailability;
import org.cranberrygauge.proxy.store.PartialLog;
import org.cranberrygauge.proxy.store.SharedLogException;
import org.cranberrygauge.runtime.event.EventLog;
import org.cranberrygauge.runtime.time.TimeSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards which of two hosts of a data centre reads the log, and how relayed reads are dated. */
class TopicRelayTest {

    private static final String TOPIC = "records";

    private static final long WALL = 1_000_000;

    private static final long RESPONSE_TIMEOUT_SECONDS = 10;

    private final Vertx vertx = Vertx.vertx();

    private final FakeClock clock = new FakeClock();

    private final FakeNetwork network = new FakeNetwork();

    private final FakeLog firstLog = new FakeLog();

    private final FakeLog secondLog = new FakeLog();

    private final TopicRelay first = host("host-1", firstLog, "host-2");

    private final TopicRelay second = host("host-2", secondLog, "host-1");

    @AfterEach
    void close() {
        vertx.close();
    }

    @Test
    void theFirstHostReadsAndTheOtherQueriesIt() throws Exception {
        firstLog.records = List.of(new byte[] {1}, new byte[] {2});
        read(first, 5);
        TopicReadResult result = read(second, 6);
        assertThat(result.relayed()).isTrue();
        assertThat(result.records()).containsExactly(new byte[] {2});
        assertThat(result.next()).isEqualTo(7);
        assertThat(secondLog.reads).isZero();
    }

    @Test
    void aRelayedResultIsAsOldAsTheRead() throws Exception {
        read(first, 5);
        clock.advance(400);
        TopicReadResult result = read(second, 5);
        assertThat(result.relayed()).isTrue();
        assertThat(result.confirmation().monotonicMillis()).isEqualTo(clock.now - 400);
    }

    @Test
    void aDelayedResponseIsDatedFromTheQuery() throws Exception {
        read(first, 5);
        network.beforeResponse = () -> clock.advance(3_000);
        long queried = clock.now;
        assertThat(read(second, 5).confirmation().monotonicMillis()).isLessThanOrEqualTo(queried);
    }

    @Test
    void aResponseFromBeforeTheLogCameBackFromACopyIsDropped() throws Exception {
        firstLog.era().observe(1);
        read(first, 5);
        secondLog.era().observe(2);
        assertThat(read(second, 5).relayed()).isFalse();
        assertThat(secondLog.reads).isEqualTo(1);
    }

    @Test
    void aHostLearnsOfANewEraFromTheOneThatReadsAndGetsNothingOfTheOldOne() throws Exception {
        firstLog.era().observe(1);
        secondLog.era().observe(1);
        firstLog.records = List.of(new byte[] {1});
        read(first, 5);
        firstLog.era().observe(2);
        read(second, 5);
        assertThat(secondLog.era().newest()).isEqualTo(2);
        assertThat(secondLog.reads).isEqualTo(1);
    }

    @Test
    void aHostReadsByItselfIfTheResponseIsTooOldOrMissing() throws Exception {
        read(first, 5);
        clock.advance(900);
        network.report("host-1", second);
        assertThat(read(second, 5).relayed()).isFalse();
        network.broken = true;
        clock.advance(100);
        assertThat(read(second, 5).relayed()).isFalse();
        assertThat(secondLog.reads).isEqualTo(2);
    }

    @Test
    void manyRecordsArriveInSeveralResponsesOfWhichTheLastConfirms() throws Exception {
        firstLog.records = List.of(new byte[3_000], new byte[3_000]);
        read(first, 5);
        TopicReadResult part = read(second, 5);
        assertThat(part.complete()).isFalse();
        assertThat(part.next()).isEqualTo(6);
        assertThat(part.confirmation()).isEqualTo(Confirmation.NONE);
        TopicReadResult rest = read(second, part.next());
        assertThat(rest.complete()).isTrue();
        assertThat(rest.next()).isEqualTo(7);
        assertThat(secondLog.reads).isZero();
    }

    /** Guards against a withdrawn key that counts as confirmed since a read ended before the record that withdrew it. */
    @Test
    void aReadThatEndsBeforeTheTopicDoesConfirmsNothing() throws Exception {
        firstLog.records = List.of(new byte[] {1});
        firstLog.unread = 1;
        TopicReadResult part = read(first, 5);
        assertThat(part.next()).isEqualTo(6);
        assertThat(part.complete()).isFalse();
        assertThat(part.confirmation()).isEqualTo(Confirmation.NONE);
    }

    /** Guards against a host that relays such a read as complete. */
    @Test
    void aHostWhoseReadEndedBeforeTheTopicDoesRelaysNoNewerConfirmation() throws Exception {
        read(first, 5);
        long complete = clock.now;
        clock.advance(300);
        firstLog.records = List.of(new byte[] {1});
        firstLog.unread = 1;
        read(first, 5);
        TopicReadResult relayed = read(second, 5);
        assertThat(relayed.records()).hasSize(1);
        assertThat(relayed.confirmation().monotonicMillis()).isEqualTo(complete);
    }

    @Test
    void aQueryIsRepeatedWhenADatagramIsLost() throws Exception {
        read(first, 5);
        network.lost = 1;
        assertThat(read(second, 5).relayed()).isTrue();
    }

    /** Guards against records and a confirmation of another read, of which the response came late. */
    @Test
    void aResponseToTheProcessBeforeIsDropped() throws Exception {
        firstLog.records = List.of(new byte[] {1});
        read(first, 5);
        read(second, 5);
        HostMessage late = network.lastResponse;
        TopicRelay restarted = host("host-2", secondLog, "host-1");
        network.beforeQuery = () -> network.deliver(late, "host-1", "host-2");
        TopicReadResult result = read(restarted, 6);
        assertThat(result.records()).isEmpty();
        assertThat(result.next()).isEqualTo(6);
    }

    /** Guards against a list that counts as confirmed by a response from before what was read. */
    @Test
    void aResponseThatEndsBeforeWhatWasReadConfirmsNothing() {
        firstLog.era().observe(1);
        firstLog.unread = -2;
        assertThatThrownBy(() -> read(first, 5)).hasRootCauseMessage("ends at 3, was read to 5");
    }

    /** Guards against hosts that are told that no records follow though a newer read has found some. */
    @Test
    void anOlderReadThatIsAnsweredLaterIsNotRelayed() throws Exception {
        firstLog.era().observe(1);
        secondLog.era().observe(1);
        firstLog.records = List.of(new byte[] {1}, new byte[] {2});
        read(first, 5);
        firstLog.records = List.of(new byte[] {1});
        read(first, 5);
        TopicReadResult relayed = read(second, 6);
        assertThat(relayed.records()).containsExactly(new byte[] {2});
        assertThat(secondLog.reads).isZero();
    }

    @Test
    void anOverdueReadIsSentToTheLogAndToTheOtherHost() throws Exception {
        read(second, 5);
        firstLog.failure = new SharedLogException(SharedLogException.Kind.TURNED_AWAY, "turned away");
        TopicReadResult result = first.readAtOnce(TOPIC, 5, 800)
                .toCompletionStage()
                .toCompletableFuture()
                .get(RESPONSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertThat(result.relayed()).isTrue();
        assertThat(firstLog.reads).isEqualTo(1);
    }

    @Test
    void aHostReadsRecordsByItselfThatTheOtherNoLongerHas() throws Exception {
        read(first, 5);
        assertThat(read(second, 3).relayed()).isFalse();
    }

    @Test
    void aHostThatWasSuspendedRelaysNothing() throws Exception {
        read(first, 5);
        clock.wall += 5_000;
        assertThat(read(second, 5).relayed()).isFalse();
    }

    @Test
    void aHostThatTheLogRejectsQueriesTheOther() throws Exception {
        read(second, 5);
        firstLog.failure = new SharedLogException(SharedLogException.Kind.TURNED_AWAY, "turned away");
        assertThat(read(first, 5).relayed()).isTrue();
        assertThat(first.readsLog()).isFalse();
        assertThat(second.readsLog()).isTrue();
    }

    @Test
    void aReadFailsWhereNoHostCanRead() {
        firstLog.failure = new SharedLogException(SharedLogException.Kind.TURNED_AWAY, "turned away");
        assertThatThrownBy(() -> read(first, 5))
                .isInstanceOf(ExecutionException.class)
                .hasCause(firstLog.failure);
    }

    private TopicReadResult read(TopicRelay relay, long from) throws Exception {
        return relay.read(TOPIC, from, 1_000, 800)
                .toCompletionStage()
                .toCompletableFuture()
                .get(RESPONSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private TopicRelay host(String name, FakeLog log, String other) {
        PeerDirectory peers = new PeerDirectory(name, "east");
        peers.update(clock.now, report(other, 1), network.address(other));
        network.directories.put(name, peers);
        ControllerContext context =
                new ControllerContext(vertx, clock, log, new ProxyBlackboard(), EventLog.NoOp.INSTANCE);
        return new TopicRelay(context, peers, network.transport(name), new LogAvailability(2_400));
    }

    private static HostReport report(String host, long sequence) {
        return new HostReport(host, 1, sequence, Map.of(), List.of(), List.of(), "east", true);
    }

    /** A clock that advances only on request. */
    private static final class FakeClock implements TimeSource {

        private long now = 10_000;

        private long wall = WALL;

        void advance(long millis) {
            now += millis;
            wall += millis;
        }

        @Override
        public long monotonicMillis() {
            return now;
        }

        @Override
        public long wallMillis() {
            return wall;
        }
    }

    /** Delivers messages synchronously unless it is broken. */
    private final class FakeNetwork {

        private final Map<NetworkAddress, Map<HostMessage._Fields, BiConsumer<HostMessage, NetworkAddress>>> handlers =
                new HashMap<>();

        private final Map<String, PeerDirectory> directories = new HashMap<>();

        private Runnable beforeResponse = () -> {};

        private Runnable beforeQuery = () -> {};

        private HostMessage lastResponse;

        private boolean broken;

        private int lost;

        NetworkAddress address(String host) {
            return new NetworkAddress(host, 1);
        }

        void report(String host, TopicRelay to) {
            assertThat(to).isSameAs(second);
            directories.get("host-2").update(clock.now, TopicRelayTest.report(host, clock.now), address(host));
        }

        void deliver(HostMessage message, String from, String to) {
            handlers.get(address(to)).get(message.getSetField()).accept(copy(message), address(from));
        }

        MessageTransport transport(String host) {
            Map<HostMessage._Fields, BiConsumer<HostMessage, NetworkAddress>> ownHandlers =
                    new EnumMap<>(HostMessage._Fields.class);
            handlers.put(address(host), ownHandlers);
            return new MessageTransport() {

                @Override
                public void onMessage(HostMessage._Fields kind, BiConsumer<HostMessage, NetworkAddress> handler) {
                    ownHandlers.put(kind, handler);
                }

                @Override
                public void send(HostMessage message, Collection<NetworkAddress> receivers) {
                    if (broken || lost > 0) {
                        lost--;
                        return;
                    }
                    if (message.getSetField() == HostMessage._Fields.ANSWER) {
                        beforeResponse.run();
                        lastResponse = message;
                    } else {
                        beforeQuery.run();
                    }
                    receivers.forEach(receiver -> deliver(message, host, receiver.host()));
                }
            };
        }
    }

    private static HostMessage copy(HostMessage message) {
        try {
            return MessageCodec.read(MessageCodec.write(message), new HostMessage());
        } catch (TException exception) {
            throw new AssertionError(exception);
        }
    }

    /** A log with fixed records, or one that fails. */
    private static final class FakeLog extends PartialLog {

        private List<byte[]> records = List.of();

        /** The number of records after those that a read returns. */
        private int unread;

        private SharedLogException failure;

        private int reads;

        @Override
        public Future<LogSlice> read(String topic, long from, long waitMillis) {
            reads++;
            if (failure != null) {
                return Future.failedFuture(failure);
            }
            long next = from + records.size();
            return Future.succeededFuture(new LogSlice(next + unread, next, records));
        }
    }
}
