package org.cranberrygauge.proxy.control;

import java.util.Map;
import org.cranberrygauge.proxy.store.KeyedRecord;
import org.cranberrygauge.proxy.store.SharedLog.LogSlice;
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

    /** The tools. */
    private final ControlTools tools;

    /** The topic. */
    private final String topic;

    /** The longest time that a read waits for a record, in milliseconds. */
    private final long waitMillis;

    /** The pause between reads in milliseconds. */
    private final long pauseMillis;

    /** Takes what is read. */
    private final Listener listener;

    /** Notes when the topic can't be read. */
    private final DependencyWatch watch;

    /** The offset of the next record, or -1 if the newest values have to be read. */
    private long next = -1;

    /** The pause after the next failed read, in milliseconds. */
    private long retryMillis = FIRST_RETRY_MILLIS;

    /**
     * Creates a follower.
     *
     * @param tools The tools.
     * @param topic The topic.
     * @param waitMillis The longest time that a read waits for a record, in milliseconds.
     * @param pauseMillis The pause between reads in milliseconds.
     * @param listener Takes what is read.
     */
    TopicFollower(ControlTools tools, String topic, long waitMillis, long pauseMillis, Listener listener) {
        this.tools = tools;
        this.topic = topic;
        this.waitMillis = waitMillis;
        this.pauseMillis = pauseMillis;
        this.listener = listener;
        this.watch = new DependencyWatch("log topic " + topic, tools.events());
    }

    /** Reads on. */
    void run() {
        long sentMillis = tools.time().monotonicMillis();
        long sentWallMillis = tools.time().wallMillis();
        if (next < 0) {
            tools.log()
                    .newest(topic)
                    .onSuccess(newest -> {
                        next = newest.end();
                        listener.all(newest.values());
                        succeeded(sentMillis, sentWallMillis);
                    })
                    .onFailure(this::failed);
            return;
        }
        tools.log()
                .read(topic, next, waitMillis)
                .onSuccess(slice -> {
                    take(slice);
                    succeeded(sentMillis, sentWallMillis);
                })
                .onFailure(this::failed);
    }

    /**
     * Takes records.
     *
     * @param slice The records.
     */
    private void take(LogSlice slice) {
        long offset = next;
        for (byte[] record : slice.records()) {
            long at = offset;
            KeyedRecord.parse(record).ifPresent(keyed -> listener.one(keyed, at));
            offset++;
        }
        next = slice.next();
    }

    /**
     * Goes on after a successful read.
     *
     * @param sentMillis The monotonic time at which the read was sent.
     * @param sentWallMillis The time of day at which the read was sent.
     */
    private void succeeded(long sentMillis, long sentWallMillis) {
        long now = tools.time().monotonicMillis();
        watch.reached(now);
        retryMillis = FIRST_RETRY_MILLIS;
        listener.confirmed(sentMillis, sentWallMillis);
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
         * @param sentMillis The monotonic time at which the read was sent, in milliseconds.
         * @param sentWallMillis The time of day at which the read was sent, in milliseconds of the epoch.
         */
        void confirmed(long sentMillis, long sentWallMillis);

        /** Hears that a read failed. */
        default void failed() {}
    }
}
