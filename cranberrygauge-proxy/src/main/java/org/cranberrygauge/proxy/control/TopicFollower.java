package org.cranberrygauge.proxy.control;

import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import org.cranberrygauge.proxy.store.Confirmation;
import org.cranberrygauge.proxy.store.KeyedRecord;
import org.cranberrygauge.proxy.store.SharedLogException;
import org.cranberrygauge.proxy.store.SharedLogException.Kind;

/**
 * Follows a topic in which the newest record of each key counts.
 *
 * <p>It reads the newest values at first and after a gap, and later records in between. Used by one thread.
 */
final class TopicFollower {

    /** The pause after a first failed read, in milliseconds. */
    private static final long FIRST_RETRY_MILLIS = 100;

    /** The longest pause after failed reads, in milliseconds. */
    private static final long LONGEST_RETRY_MILLIS = 800;

    /** The shortest pause after a read of another host, in milliseconds. */
    private static final long RELAYED_PAUSE_MILLIS = 250;

    /** The time over which the pauses after reads of other hosts are spread, in milliseconds. */
    private static final long RELAYED_SPREAD_MILLIS = 100;

    /** The tools. */
    private final ControllerContext tools;

    /** The topic. */
    private final String topic;

    /** How often the topic is read. */
    private final Pace pace;

    /** Reads through other hosts where that is possible. */
    private final TopicRelay relay;

    /** Takes what is read. */
    private final Listener listener;

    /** Notes when the topic can't be read. */
    private final DependencyMonitor watch;

    /** The offset of the next record, or -1 if the newest values have to be read. */
    private long next = -1;

    /** The pause after the next failed read, in milliseconds. */
    private long retryMillis = FIRST_RETRY_MILLIS;

    /**
     * Creates a follower.
     *
     * @param tools The tools.
     * @param relay Reads through other hosts where that is possible.
     * @param topic The topic.
     * @param pace How often the topic is read.
     * @param listener Takes what is read.
     */
    TopicFollower(ControllerContext tools, TopicRelay relay, String topic, Pace pace, Listener listener) {
        this.tools = tools;
        this.relay = relay;
        this.topic = topic;
        this.pace = pace;
        this.listener = listener;
        this.watch = new DependencyMonitor("log topic " + topic, tools.events());
    }

    /** Reads on. */
    void run() {
        if (next >= 0) {
            relay.read(topic, next, pace.waitMillis(), pace.maximumAgeMillis())
                    .onSuccess(this::take)
                    .onFailure(this::failed);
            return;
        }
        Confirmation sent = Confirmation.now(tools.time());
        tools.log()
                .newest(topic)
                .onSuccess(newest -> {
                    next = newest.end();
                    listener.all(newest.values());
                    succeeded(sent, pace.pauseMillis());
                })
                .onFailure(this::failed);
    }

    /**
     * Takes records.
     *
     * @param reading What was read.
     */
    private void take(TopicReadResult reading) {
        long offset = next;
        for (byte[] record : reading.records()) {
            long at = offset;
            KeyedRecord.parse(record).ifPresent(keyed -> listener.one(keyed, at));
            offset++;
        }
        next = reading.next();
        succeeded(reading.confirmation(), pauseMillis(reading));
    }

    /**
     * Returns the pause before the next read; hosts that ask the same one don't do so all at once.
     *
     * @param reading What was read.
     * @return The pause in milliseconds.
     */
    private long pauseMillis(TopicReadResult reading) {
        if (!reading.relayed()) {
            return pace.pauseMillis();
        }
        if (!reading.complete()) {
            return 0;
        }
        return RELAYED_PAUSE_MILLIS + ThreadLocalRandom.current().nextLong(RELAYED_SPREAD_MILLIS);
    }

    /**
     * Goes on after a successful read.
     *
     * @param read The time of the read.
     * @param pauseMillis The pause before the next read, in milliseconds.
     */
    private void succeeded(Confirmation read, long pauseMillis) {
        watch.reached(tools.time().monotonicMillis());
        retryMillis = FIRST_RETRY_MILLIS;
        listener.confirmed(read);
        if (pauseMillis == 0) {
            run();
        } else {
            tools.vertx().setTimer(pauseMillis, fired -> run());
        }
    }

    /**
     * Goes on after a failed read.
     *
     * @param failure The failure.
     */
    private void failed(Throwable failure) {
        watch.failed(tools.time().monotonicMillis(), String.valueOf(failure.getMessage()));
        listener.failed();
        if (failure instanceof SharedLogException known && known.kind() == Kind.TRIMMED) {
            next = -1;
        }
        tools.vertx().setTimer(retryMillis, fired -> run());
        retryMillis = Math.min(LONGEST_RETRY_MILLIS, retryMillis * 2);
    }

    /**
     * How often a topic is read.
     *
     * @param waitMillis The longest time that a read of the log waits for a record, in milliseconds.
     * @param pauseMillis The pause between reads of the log, in milliseconds.
     * @param maximumAgeMillis The highest age of what another host read, in milliseconds.
     */
    record Pace(long waitMillis, long pauseMillis, long maximumAgeMillis) {}

    /** Takes what a follower reads. */
    interface Listener {

        /**
         * Takes the newest values of all keys.
         *
         * @param values The values by key.
         */
        void all(Map<String, byte[]> values);

        /**
         * Takes one later record.
         *
         * @param record The record.
         * @param offset Its offset.
         */
        void one(KeyedRecord record, long offset);

        /**
         * Hears that everything up to a time is known.
         *
         * @param read The time at which the read was sent.
         */
        void confirmed(Confirmation read);

        /** Hears that a read failed. */
        default void failed() {}
    }
}
