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
import org.cranberrygauge.proxy.store.RecentRecords;
import org.cranberrygauge.proxy.store.RecentRecords.Part;
import org.cranberrygauge.proxy.store.SharedLogException;
import org.cranberrygauge.proxy.store.SharedLogException.Kind;

/**
 * Reads topics of the shared log for a data centre: one host reads, the others ask it.
 *
 * <p>A host that gets no good answer reads by itself, and one that the log turns away asks another. What an answer confirms
 * counts from the time at which the question was sent, less the age that the answer states, so that an answer that was held
 * up is never taken as newer than it is. Used by one thread.
 */
public final class TopicRelay {

    /** The time that a host has for an answer, in milliseconds. */
    private static final long ANSWER_MILLIS = 150;

    /** The time for which a host that gave no good answer isn't asked again, in milliseconds. */
    private static final long AVOIDED_MILLIS = 1_500;

    /** The time after a failed read in which this host doesn't read for others, in milliseconds. */
    private static final long FAILED_MILLIS = 3_000;

    /** The time after a question in which this host reads more often, in milliseconds. */
    private static final long ASKED_MILLIS = 2_000;

    /** The part of the longest wait that a read takes on a host that others ask. */
    private static final double ASKED_WAIT_PART = 0.5;

    /** The highest number of bytes of records in an answer; links drop datagrams that come all at once. */
    private static final int ANSWER_BYTES = 4 * 1024;

    /** How often a question is sent, since a datagram may be lost. */
    private static final int TRIES = 2;

    /** The tools. */
    private final ControllerContext tools;

    /** The other hosts. */
    private final PeerDirectory peers;

    /** Carries questions and answers. */
    private final MessageTransport channel;

    /** What is known of the topics by name. */
    private final Map<String, Known> topics = new HashMap<>();

    /** The questions without an answer by number. */
    private final Map<Long, Promise<TopicAnswer>> open = new HashMap<>();

    /** Notes when the log can't be read. */
    private final DependencyMonitor reads;

    /** Notes when no good answer comes. */
    private final DependencyMonitor answers;

    /** The times until which hosts aren't asked. */
    private final Map<NetworkAddress, Long> avoidedUntilMillis = new HashMap<>();

    /** The number of the last question. */
    private long number;

    /** The monotonic time of the last failed read. */
    private long failedMillis = Long.MIN_VALUE / 2;

    /** The monotonic time of the last question of another host. */
    private long askedMillis = Long.MIN_VALUE / 2;

    /**
     * Creates a relay.
     *
     * @param tools The tools.
     * @param peers The other hosts.
     * @param channel Carries questions and answers.
     */
    TopicRelay(ControllerContext tools, PeerDirectory peers, MessageTransport channel) {
        this.tools = tools;
        this.peers = peers;
        this.channel = channel;
        this.reads = new DependencyMonitor("reads of the log", tools.events());
        this.answers = new DependencyMonitor("answers of other hosts", tools.events());
        channel.onMessage(HostMessage._Fields.QUESTION, (message, sender) -> answer(message.getQuestion(), sender));
        channel.onMessage(HostMessage._Fields.ANSWER, (message, sender) -> take(message.getAnswer()));
    }

    /**
     * Tells whether this host may read for others.
     *
     * @return Whether it may.
     */
    boolean readsLog() {
        return !tools.board().draining() && tools.time().monotonicMillis() - failedMillis >= FAILED_MILLIS;
    }

    /**
     * Returns the host that reads and writes for this one at present.
     *
     * @return Its address, or empty if this host does so by itself.
     */
    Optional<NetworkAddress> reader() {
        return reader(readsLog());
    }

    /**
     * Reads records, through another host if that is possible.
     *
     * @param topic The topic.
     * @param from The offset of the first record.
     * @param waitMillis The longest time that a read of the log waits for a record, in milliseconds.
     * @param maximumAgeMillis The highest age of what another host read, in milliseconds.
     * @return The records.
     */
    Future<TopicReadResult> read(String topic, long from, long waitMillis, long maximumAgeMillis) {
        Optional<NetworkAddress> reader = reader();
        if (reader.isEmpty()) {
            return readLog(topic, from, waitMillis, maximumAgeMillis);
        }
        return ask(reader.get(), topic, from, maximumAgeMillis)
                .recover(unanswered -> readLog(topic, from, waitMillis, maximumAgeMillis));
    }

    /**
     * Returns the host that this one asks at present.
     *
     * @param ownReads Whether this host may read by itself.
     * @return Its address, or empty if this host reads by itself.
     */
    private Optional<NetworkAddress> reader(boolean ownReads) {
        long now = tools.time().monotonicMillis();
        return peers.reader(now, ownReads)
                .filter(address -> avoidedUntilMillis.getOrDefault(address, Long.MIN_VALUE) <= now);
    }

    /**
     * Reads the log; a host that is turned away asks another one.
     *
     * @param topic The topic.
     * @param from The offset of the first record.
     * @param waitMillis The longest time to wait for a record, in milliseconds.
     * @param maximumAgeMillis The highest age of what another host read, in milliseconds.
     * @return The records.
     */
    private Future<TopicReadResult> readLog(String topic, long from, long waitMillis, long maximumAgeMillis) {
        Confirmation sent = Confirmation.now(tools.time());
        boolean asked = sent.monotonicMillis() - askedMillis < ASKED_MILLIS;
        return tools.log()
                .read(topic, from, asked ? (long) (waitMillis * ASKED_WAIT_PART) : waitMillis)
                .onSuccess(slice -> reads.reached(tools.time().monotonicMillis()))
                .map(slice ->
                        remember(topic, from, new TopicReadResult(slice.records(), slice.next(), sent, false, true)))
                .recover(failure -> {
                    if (failure instanceof SharedLogException known && known.kind() == Kind.TRIMMED) {
                        return Future.failedFuture(failure);
                    }
                    failedMillis = tools.time().monotonicMillis();
                    reads.failed(failedMillis, topic + ": " + failure.getMessage());
                    return reader(false)
                            .map(other -> ask(other, topic, from, maximumAgeMillis)
                                    .recover(unanswered -> Future.failedFuture(failure)))
                            .orElseGet(() -> Future.failedFuture(failure));
                });
    }

    /**
     * Asks another host for records.
     *
     * @param other The address of the host.
     * @param topic The topic.
     * @param from The offset of the first record.
     * @param maximumAgeMillis The highest age of what it read, in milliseconds.
     * @return The records.
     */
    private Future<TopicReadResult> ask(NetworkAddress other, String topic, long from, long maximumAgeMillis) {
        Confirmation sent = Confirmation.now(tools.time());
        return send(other, topic, from, TRIES)
                .compose(answer -> {
                    if (!answer.isKnown()) {
                        return Future.<TopicReadResult>failedFuture("not known from " + from);
                    }
                    if (answer.getAgeMillis() > maximumAgeMillis) {
                        return Future.<TopicReadResult>failedFuture(answer.getAgeMillis() + " ms old");
                    }
                    return Future.succeededFuture(remember(topic, from, reading(answer, from, sent)));
                })
                .onSuccess(reading -> answers.reached(tools.time().monotonicMillis()))
                .onFailure(refused -> {
                    answers.failed(
                            tools.time().monotonicMillis(), topic + " at " + other + ": " + refused.getMessage());
                    avoidedUntilMillis.put(other, sent.monotonicMillis() + AVOIDED_MILLIS);
                });
    }

    /**
     * Sends a question, once more if no answer comes.
     *
     * @param other The address of the host.
     * @param topic The topic.
     * @param from The offset of the first record.
     * @param tries How often it is sent.
     * @return The answer.
     */
    private Future<TopicAnswer> send(NetworkAddress other, String topic, long from, int tries) {
        long question = ++number;
        Promise<TopicAnswer> promise = Promise.promise();
        open.put(question, promise);
        long timer = tools.vertx().setTimer(ANSWER_MILLIS, fired -> promise.tryFail("no answer in time"));
        channel.send(HostMessage.question(new TopicQuestion(question, topic, from)), List.of(other));
        Future<TopicAnswer> answer = promise.future().onComplete(done -> {
            open.remove(question);
            tools.vertx().cancelTimer(timer);
        });
        return tries == 1 ? answer : answer.recover(lost -> send(other, topic, from, tries - 1));
    }

    /**
     * Reads an answer.
     *
     * @param answer The answer.
     * @param from The offset that was asked for.
     * @param sent The time at which the question was sent.
     * @return What the other host read.
     */
    private static TopicReadResult reading(TopicAnswer answer, long from, Confirmation sent) {
        List<byte[]> records = new ArrayList<>();
        answer.getRecords().forEach(record -> {
            byte[] bytes = new byte[record.remaining()];
            record.duplicate().get(bytes);
            records.add(bytes);
        });
        Confirmation read = answer.isComplete() ? sent.before(answer.getAgeMillis()) : Confirmation.NONE;
        return new TopicReadResult(records, from + records.size(), read, true, answer.isComplete());
    }

    /**
     * Keeps what was read for questions of other hosts.
     *
     * @param topic The topic.
     * @param from The offset of the first record.
     * @param reading What was read.
     * @return The same.
     */
    private TopicReadResult remember(String topic, long from, TopicReadResult reading) {
        Known known = topics.computeIfAbsent(topic, name -> new Known());
        known.trail.add(from, reading.records());
        known.confirmation = known.confirmation.later(reading.confirmation());
        return reading;
    }

    /**
     * Answers a question of another host.
     *
     * @param question The question.
     * @param sender The address of the host.
     */
    private void answer(TopicQuestion question, NetworkAddress sender) {
        Confirmation now = Confirmation.now(tools.time());
        askedMillis = now.monotonicMillis();
        Known known = topics.getOrDefault(question.getTopic(), new Known());
        OptionalLong age = known.confirmation.ageMillis(now.monotonicMillis(), now.wallMillis());
        Optional<Part> part =
                age.isPresent() ? known.trail.since(question.getFromOffset(), ANSWER_BYTES) : Optional.empty();
        List<ByteBuffer> buffers = new ArrayList<>();
        part.ifPresent(found -> found.records().forEach(record -> buffers.add(ByteBuffer.wrap(record))));
        boolean complete = part.map(Part::complete).orElse(false);
        TopicAnswer answer = new TopicAnswer(question.getNumber(), part.isPresent(), complete, age.orElse(0), buffers);
        channel.send(HostMessage.answer(answer), List.of(sender));
    }

    /**
     * Takes an answer; one that comes too late is dropped.
     *
     * @param answer The answer.
     */
    private void take(TopicAnswer answer) {
        Promise<TopicAnswer> promise = open.get(answer.getNumber());
        if (promise != null) {
            promise.tryComplete(answer);
        }
    }

    /** What is known of a topic. */
    private static final class Known {

        /** Its newest records. */
        private final RecentRecords trail = new RecentRecords();

        /** The time up to which there were no other records. */
        private Confirmation confirmation = Confirmation.NONE;
    }
}
