package org.cranberrygauge.proxy.control;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.protocol.generated.HostMessage;
import org.cranberrygauge.protocol.generated.TopicAnswer;
import org.cranberrygauge.protocol.generated.TopicQuestion;
import org.cranberrygauge.proxy.store.Confirmation;
import org.cranberrygauge.proxy.store.LogAvailability;
import org.cranberrygauge.proxy.store.RecentRecords;
import org.cranberrygauge.proxy.store.RecentRecords.Part;
import org.cranberrygauge.proxy.store.SharedLog.LogSlice;
import org.cranberrygauge.proxy.store.SharedLogException;
import org.cranberrygauge.proxy.store.SharedLogException.Kind;
import org.cranberrygauge.proxy.store.StoreEra;

/**
 * Reads topics of the shared log on behalf of a data centre: one host reads, the others query it.
 *
 * <p>A host that gets no usable response reads by itself, and one whose read is rejected queries another host. A
 * confirmation is dated from the time at which the query was sent, less the age that the response states, so that a
 * delayed response never appears newer than it is. Not thread-safe.
 */
public final class TopicRelay {

    /** The time that a host has for a response to one query. */
    private static final long RESPONSE_TIMEOUT_MILLIS = 150;

    /** The time for which a host is not queried again after it gave no usable response. */
    private static final long COOLDOWN_MILLIS = 1_500;

    /** The time after a failed read in which this host does not read for others. */
    private static final long FAILED_MILLIS = 3_000;

    /** The time after a query of another host in which this host reads more often. */
    private static final long QUERIED_MILLIS = 2_000;

    /** The factor on the maximum wait of a read while other hosts query this one. */
    private static final double QUERIED_WAIT_FACTOR = 0.5;

    /** The maximum size of the records in a response; links drop datagrams that arrive in bursts. */
    private static final int MAXIMUM_RESPONSE_BYTES = 4 * 1024;

    /** The number of times that a query is sent, since a datagram may be lost. */
    private static final int TRIES = 2;

    private final ControllerContext context;

    private final PeerDirectory peers;

    private final MessageTransport transport;

    private final LogAvailability availability;

    /** The recent records by topic. */
    private final Map<String, TopicState> topics = new HashMap<>();

    /** The queries without a response, by number. */
    private final Map<Long, Promise<TopicAnswer>> pendingQueries = new HashMap<>();

    private final DependencyMonitor readMonitor;

    private final DependencyMonitor relayMonitor;

    /** The monotonic times until which hosts are not queried. */
    private final Map<NetworkAddress, Long> cooldownUntilMillis = new HashMap<>();

    private final QuestionNumbers queryNumbers = new QuestionNumbers();

    /** The monotonic time of the last failed read. */
    private long lastFailureMillis = Long.MIN_VALUE / 2;

    /** The monotonic time of the last query of another host. */
    private long lastQueriedMillis = Long.MIN_VALUE / 2;

    /** @param availability Receives when the log answered this host or one that it queried. */
    TopicRelay(
            ControllerContext context, PeerDirectory peers, MessageTransport transport, LogAvailability availability) {
        this.context = context;
        this.peers = peers;
        this.availability = availability;
        context.log()
                .era()
                .onChange((previous, current) ->
                        availability.recordRollback(context.time().monotonicMillis()));
        this.transport = transport;
        this.readMonitor = new DependencyMonitor("reads of the log", context.events());
        this.relayMonitor = new DependencyMonitor("answers of other hosts", context.events());
        transport.onMessage(HostMessage._Fields.QUESTION, (message, sender) -> respond(message.getQuestion(), sender));
        transport.onMessage(HostMessage._Fields.ANSWER, (message, sender) -> complete(message.getAnswer()));
    }

    /** Tells whether this host can read for others: it does not drain and no read failed recently. */
    boolean readsLog() {
        return !context.blackboard().draining()
                && context.time().monotonicMillis() - lastFailureMillis >= FAILED_MILLIS;
    }

    /** Returns the host that currently reads and writes for this one, or empty if this host does so by itself. */
    Optional<NetworkAddress> reader() {
        return reader(readsLog());
    }

    /** Tells whether no other host currently reads and writes for this one. */
    public boolean readsAlone() {
        return reader().isEmpty();
    }

    /**
     * Reads records, through another host if possible.
     *
     * @param fromOffset The offset of the first record.
     * @param waitMillis The maximum time that a read of the log waits for a record, in milliseconds.
     * @param maximumAgeMillis The maximum age of a read by another host, in milliseconds.
     */
    Future<TopicReadResult> read(String topic, long fromOffset, long waitMillis, long maximumAgeMillis) {
        Optional<NetworkAddress> reader = reader();
        if (reader.isEmpty()) {
            return readLog(topic, fromOffset, waitMillis, maximumAgeMillis);
        }
        return query(reader.get(), topic, fromOffset, maximumAgeMillis)
                .recover(failure -> readLog(topic, fromOffset, waitMillis, maximumAgeMillis));
    }

    /**
     * Reads records directly, and through another host beside that, and returns what is read first.
     *
     * @param fromOffset The offset of the first record.
     * @param maximumAgeMillis The maximum age of a read by another host, in milliseconds.
     */
    Future<TopicReadResult> readAtOnce(String topic, long fromOffset, long maximumAgeMillis) {
        Future<TopicReadResult> direct = readDirectly(topic, fromOffset, 0);
        Optional<NetworkAddress> other = reader(false);
        if (other.isEmpty()) {
            return direct;
        }
        Future<TopicReadResult> relayed = query(other.get(), topic, fromOffset, maximumAgeMillis);
        Promise<TopicReadResult> first = Promise.promise();
        direct.onSuccess(first::tryComplete);
        direct.onFailure(failure -> {
            if (isPositionLost(failure)) {
                first.tryFail(failure);
            }
        });
        relayed.onSuccess(first::tryComplete);
        Future.any(direct, relayed).onFailure(both -> first.tryFail(direct.cause()));
        return first.future();
    }

    /**
     * Records that a read of the log was answered.
     *
     * @param answeredMillis The monotonic time at which the log answered, in milliseconds; earlier if another host has read it.
     */
    void recordAnswer(long nowMillis, long answeredMillis) {
        availability
                .recordAnswer(nowMillis, answeredMillis)
                .ifPresent(millis -> context.events().emit(new ControlEvents.LogGapEnded(millis)));
    }

    /** Returns the time since which the log has answered without an outage, in milliseconds; empty while it may be away. */
    OptionalLong logAvailableMillis(long nowMillis) {
        return availability.availableMillis(nowMillis);
    }

    /**
     * Decides whether servers whose entries the log no longer holds stay in the list.
     *
     * @param readMillis The monotonic time at which the read was sent that does not find the entries, in milliseconds.
     */
    RetentionDecision retention(long nowMillis, long readMillis) {
        OptionalLong outageEnd = availability.outageEndMillis();
        OptionalLong elsewhere = outageEnd.isEmpty()
                ? OptionalLong.empty()
                : peers.logAvailableSinceMillis(
                        nowMillis, outageEnd.getAsLong(), context.log().era().newest());
        return RetentionDecision.decide(readMillis, outageEnd, elsewhere);
    }

    private Optional<NetworkAddress> reader(boolean ownReads) {
        long now = context.time().monotonicMillis();
        return peers.reader(now, ownReads)
                .filter(address -> cooldownUntilMillis.getOrDefault(address, Long.MIN_VALUE) <= now);
    }

    /** Reads the log directly; if that fails, queries another host. */
    private Future<TopicReadResult> readLog(String topic, long fromOffset, long waitMillis, long maximumAgeMillis) {
        return readDirectly(topic, fromOffset, waitMillis).recover(failure -> {
            if (isPositionLost(failure)) {
                return Future.failedFuture(failure);
            }
            return reader(false)
                    .map(other -> query(other, topic, fromOffset, maximumAgeMillis)
                            .recover(unanswered -> Future.failedFuture(failure)))
                    .orElseGet(() -> Future.failedFuture(failure));
        });
    }

    private Future<TopicReadResult> readDirectly(String topic, long fromOffset, long waitMillis) {
        Confirmation sent = Confirmation.now(context.time());
        boolean queried = sent.monotonicMillis() - lastQueriedMillis < QUERIED_MILLIS;
        return context.log()
                .read(topic, fromOffset, queried ? (long) (waitMillis * QUERIED_WAIT_FACTOR) : waitMillis)
                .compose(slice -> requireNotOlder(slice, fromOffset))
                .onSuccess(slice -> readMonitor.recordSuccess(context.time().monotonicMillis()))
                .map(slice -> cache(topic, fromOffset, toResult(slice, sent)))
                .onFailure(failure -> {
                    if (!isPositionLost(failure)) {
                        lastFailureMillis = context.time().monotonicMillis();
                        readMonitor.recordFailure(lastFailureMillis, topic + ": " + failure.getMessage());
                    }
                });
    }

    /** Rejects a response that ends before what was read; only in another era may the topic have become shorter. */
    private Future<LogSlice> requireNotOlder(LogSlice slice, long fromOffset) {
        if (slice.end() >= fromOffset) {
            return Future.succeededFuture(slice);
        }
        Kind kind = context.log().era().newest() == StoreEra.UNKNOWN ? Kind.TRIMMED : Kind.NO_ANSWER;
        return Future.failedFuture(
                new SharedLogException(kind, "ends at " + slice.end() + ", was read to " + fromOffset));
    }

    /** Tells whether the offset of a read is not valid any longer, though the log can be read. */
    private static boolean isPositionLost(Throwable failure) {
        return failure instanceof SharedLogException known
                && (known.kind() == Kind.TRIMMED || known.kind() == Kind.ERA_CHANGED);
    }

    /** Queries another host for records, and stops to query it for a time if it gives no usable response. */
    private Future<TopicReadResult> query(NetworkAddress other, String topic, long fromOffset, long maximumAgeMillis) {
        Confirmation sent = Confirmation.now(context.time());
        return sendQuery(other, topic, fromOffset, TRIES)
                .compose(answer -> {
                    if (answer.isSetEra() && !context.log().era().observe(answer.getEra())) {
                        return Future.<TopicReadResult>failedFuture("from before the log came back from a copy");
                    }
                    if (!answer.isKnown()) {
                        return Future.<TopicReadResult>failedFuture("no records kept from offset " + fromOffset);
                    }
                    if (answer.getAgeMillis() > maximumAgeMillis) {
                        return Future.<TopicReadResult>failedFuture(answer.getAgeMillis() + " ms old");
                    }
                    return Future.succeededFuture(cache(topic, fromOffset, toResult(answer, fromOffset, sent)));
                })
                .onSuccess(result -> relayMonitor.recordSuccess(context.time().monotonicMillis()))
                .onFailure(failure -> {
                    relayMonitor.recordFailure(
                            context.time().monotonicMillis(), topic + " at " + other + ": " + failure.getMessage());
                    cooldownUntilMillis.put(other, sent.monotonicMillis() + COOLDOWN_MILLIS);
                });
    }

    /** Sends a query, and repeats it without a response until the tries are used up. */
    private Future<TopicAnswer> sendQuery(NetworkAddress other, String topic, long fromOffset, int tries) {
        long queryNumber = queryNumbers.next();
        Promise<TopicAnswer> promise = Promise.promise();
        pendingQueries.put(queryNumber, promise);
        context.timers().after(RESPONSE_TIMEOUT_MILLIS, () -> promise.tryFail("no response in time"));
        transport.send(HostMessage.question(new TopicQuestion(queryNumber, topic, fromOffset)), List.of(other));
        Future<TopicAnswer> answer = promise.future().onComplete(done -> pendingQueries.remove(queryNumber));
        return tries == 1 ? answer : answer.recover(lost -> sendQuery(other, topic, fromOffset, tries - 1));
    }

    /** Converts a read of the log, which confirms nothing if it ended before the topic does. */
    private static TopicReadResult toResult(LogSlice slice, Confirmation sent) {
        boolean complete = slice.isComplete();
        Confirmation read = complete ? sent : Confirmation.NONE;
        return new TopicReadResult(slice.records(), slice.next(), read, false, complete);
    }

    /** Converts a response; its confirmation is dated from the time at which the query was sent. */
    private static TopicReadResult toResult(TopicAnswer answer, long fromOffset, Confirmation sent) {
        List<byte[]> records = new ArrayList<>();
        answer.getRecords().forEach(record -> {
            byte[] bytes = new byte[record.remaining()];
            record.duplicate().get(bytes);
            records.add(bytes);
        });
        Confirmation read = answer.isComplete() ? sent.before(answer.getAgeMillis()) : Confirmation.NONE;
        return new TopicReadResult(records, fromOffset + records.size(), read, true, answer.isComplete());
    }

    /** Keeps a result for queries of other hosts unless a newer one is kept, and returns it. */
    private TopicReadResult cache(String topic, long fromOffset, TopicReadResult result) {
        long era = context.log().era().newest();
        TopicState state =
                topics.compute(topic, (name, known) -> known == null || known.era != era ? new TopicState(era) : known);
        if (era != StoreEra.UNKNOWN && result.next() < state.recent.end()) {
            return result;
        }
        state.recent.add(fromOffset, result.records());
        state.confirmation = state.confirmation.later(result.confirmation());
        return result;
    }

    private void respond(TopicQuestion question, NetworkAddress sender) {
        Confirmation now = Confirmation.now(context.time());
        lastQueriedMillis = now.monotonicMillis();
        long era = context.log().era().newest();
        TopicState state = topics.get(question.getTopic());
        if (state == null || state.era != era) {
            state = new TopicState(era);
        }
        OptionalLong age = state.confirmation.ageMillis(now.monotonicMillis(), now.wallMillis());
        Optional<Part> part = age.isPresent()
                ? state.recent.since(question.getFromOffset(), MAXIMUM_RESPONSE_BYTES)
                : Optional.empty();
        List<ByteBuffer> buffers = new ArrayList<>();
        part.ifPresent(found -> found.records().forEach(record -> buffers.add(ByteBuffer.wrap(record))));
        boolean complete = part.map(Part::complete).orElse(false);
        TopicAnswer answer = new TopicAnswer(question.getNumber(), part.isPresent(), complete, age.orElse(0), buffers);
        if (era != StoreEra.UNKNOWN) {
            answer.setEra(era);
        }
        transport.send(HostMessage.answer(answer), List.of(sender));
    }

    /** Completes the pending query of a response; a late response is dropped. */
    private void complete(TopicAnswer answer) {
        Promise<TopicAnswer> promise = pendingQueries.get(answer.getNumber());
        if (promise != null) {
            promise.tryComplete(answer);
        }
    }

    /** What this host has read of one topic. */
    private static final class TopicState {

        /** The era of the log in which it was read. */
        private final long era;

        private final RecentRecords recent = new RecentRecords();

        /** The time up to which there were no further records. */
        private Confirmation confirmation = Confirmation.NONE;

        TopicState(long era) {
            this.era = era;
        }
    }
}
