package org.cranberrygauge.proxy.control;

import java.util.List;
import java.util.Map;
import org.cranberrygauge.proxy.store.Confirmation;
import org.cranberrygauge.proxy.store.KeyedRecord;
import org.cranberrygauge.proxy.store.SharedLog.KeyedValues;
import org.cranberrygauge.proxy.store.SharedLogException;
import org.cranberrygauge.proxy.store.SharedLogException.Kind;
import org.cranberrygauge.proxy.store.StoreEra;

/**
 * Follows a topic in which the newest record of each key is authoritative.
 *
 * <p>It reads a snapshot at first and after a gap, and later records in between. While no read is answered in time, further
 * ones are begun beside it; the first answer is applied, and those of the others are dropped. A snapshot that ends before
 * what was read is never applied within an era of the log. Not thread-safe.
 */
final class TopicFollower {

    /** The delay after a first failed read; it doubles with each consecutive failure. */
    private static final long INITIAL_RETRY_MILLIS = 100;

    /** The maximum random addition to the pause after a read through another host, so that hosts don't query it all at once. */
    private static final long RELAYED_JITTER_MILLIS = 100;

    private final ControllerContext context;

    private final String topic;

    private final PollSettings settings;

    private final TopicRelay relay;

    private final Listener listener;

    private final DependencyMonitor monitor;

    /** The offset of the next record; -1 if a snapshot has to be read. */
    private long next = -1;

    /** The end of what has been read in the current era. */
    private long end;

    /** The era of the log in which that offset was read. */
    private long era = StoreEra.UNKNOWN;

    /** The monotonic time of the last read to the end, in milliseconds. */
    private long confirmedMillis;

    /** The number of reads whose answers were applied; an answer to a read of an earlier round is dropped. */
    private long round;

    /** The delay after the next failed read. */
    private long retryMillis = INITIAL_RETRY_MILLIS;

    /** The delay after which an overdue read is repeated. */
    private long repeatMillis;

    /** The monotonic time of the next read in milliseconds; the maximum if none is scheduled. */
    private long scheduledMillis = Long.MAX_VALUE;

    /** The number of the timer that is in force. */
    private long timer;

    TopicFollower(ControllerContext context, TopicRelay relay, String topic, PollSettings settings, Listener listener) {
        this.context = context;
        this.relay = relay;
        this.topic = topic;
        this.settings = settings;
        this.listener = listener;
        this.monitor = new DependencyMonitor("log topic " + topic, context.events());
        this.confirmedMillis = context.time().monotonicMillis();
        this.repeatMillis = settings.repeatMillis();
    }

    /** Reads the next records, or a snapshot, and schedules the following read. */
    void poll() {
        read(isOverdue());
    }

    private boolean isOverdue() {
        return context.time().monotonicMillis() - confirmedMillis >= settings.overdueMillis();
    }

    /** @param atOnce Whether the log is read directly, and another host queried beside that. */
    private void read(boolean atOnce) {
        long ageMillis = context.time().monotonicMillis() - confirmedMillis;
        scheduleBy(isOverdue() ? nextRepeatMillis() : settings.overdueMillis() - ageMillis);
        long started = round;
        if (next < 0 || era != context.log().era().newest()) {
            readSnapshot(started);
            return;
        }
        long from = next;
        (atOnce
                        ? relay.readAtOnce(topic, from, settings.maximumAgeMillis())
                        : relay.read(topic, from, settings.waitMillis(), settings.maximumAgeMillis()))
                .onSuccess(result -> applyOrFail(started, () -> apply(from, result)))
                .onFailure(failure -> failed(started, failure));
    }

    private void readSnapshot(long started) {
        Confirmation sent = Confirmation.now(context.time());
        context.log()
                .newest(topic)
                .onSuccess(newest -> applyOrFail(started, () -> apply(newest, sent)))
                .onFailure(failure -> failed(started, failure));
    }

    /** Applies what was read unless another answer came first; if that fails, the topic is read again later. */
    private void applyOrFail(long started, Runnable application) {
        if (started != round) {
            return;
        }
        try {
            application.run();
        } catch (RuntimeException exception) {
            failed(started, exception);
        }
    }

    private void apply(KeyedValues newest, Confirmation sent) {
        long current = context.log().era().newest();
        if (current == era && current != StoreEra.UNKNOWN && newest.end() < end) {
            failed(round, new SharedLogException(Kind.NO_ANSWER, "ends at " + newest.end() + ", was read to " + end));
            return;
        }
        era = current;
        end = newest.end();
        next = newest.end();
        listener.onSnapshot(newest.values());
        succeeded(sent, false, settings.pauseMillis());
    }

    private void apply(long from, TopicReadResult result) {
        if (from != next) {
            return;
        }
        if (era != context.log().era().newest()) {
            failed(round, new SharedLogException(Kind.ERA_CHANGED, "the log has come back from an older copy"));
            return;
        }
        long offset = from;
        for (byte[] record : result.records()) {
            long at = offset;
            KeyedRecord.parse(record).ifPresent(keyed -> deliver(keyed, at));
            offset++;
        }
        next = result.next();
        end = next;
        succeeded(result.confirmation(), result.relayed(), pauseMillis(result));
    }

    /** Delivers a record, which is skipped if the listener fails on it. */
    private void deliver(KeyedRecord record, long offset) {
        try {
            listener.onRecord(record, offset);
        } catch (RuntimeException exception) {
            context.events().emit(new ControlEvents.RecordUnreadable(topic, record.key(), String.valueOf(exception)));
        }
    }

    /** Returns the pause before the next read. */
    private long pauseMillis(TopicReadResult result) {
        if (!result.complete()) {
            return 0;
        }
        if (!result.relayed()) {
            return settings.pauseMillis();
        }
        return settings.relayedIntervalMillis() + context.random().nextLong(RELAYED_JITTER_MILLIS);
    }

    private void succeeded(Confirmation confirmation, boolean relayed, long pauseMillis) {
        long now = context.time().monotonicMillis();
        monitor.recordSuccess(now);
        round++;
        retryMillis = INITIAL_RETRY_MILLIS;
        repeatMillis = settings.repeatMillis();
        confirmedMillis = Math.max(confirmedMillis, confirmation.monotonicMillis());
        relay.recordAnswer(now, relayed ? Math.min(now, confirmation.monotonicMillis()) : now);
        listener.onConfirmed(confirmation, relayed);
        cancelScheduled();
        if (pauseMillis == 0) {
            read(false);
        } else {
            scheduleBy(Math.min(pauseMillis, settings.overdueMillis() - (now - confirmedMillis)));
        }
    }

    private void failed(long started, Throwable failure) {
        if (started != round) {
            return;
        }
        monitor.recordFailure(context.time().monotonicMillis(), String.valueOf(failure.getMessage()));
        listener.onReadFailure();
        if (failure instanceof SharedLogException known
                && (known.kind() == Kind.TRIMMED || known.kind() == Kind.ERA_CHANGED)) {
            next = -1;
        }
        scheduleBy(Math.min(retryMillis, settings.maximumRepeatMillis()));
        retryMillis = Math.min(settings.maximumRepeatMillis(), retryMillis * 2);
    }

    /** Returns the time until the next read if this one, which is overdue, gets no answer. */
    private long nextRepeatMillis() {
        long delay = repeatMillis;
        repeatMillis = Math.min(settings.maximumRepeatMillis(), repeatMillis * 2);
        return delay;
    }

    /** Schedules the next read, unless one is due earlier. */
    private void scheduleBy(long delayMillis) {
        long delay = Math.max(1, delayMillis);
        long at = context.time().monotonicMillis() + delay;
        if (at >= scheduledMillis) {
            return;
        }
        long number = ++timer;
        scheduledMillis = at;
        context.timers().after(delay, () -> {
            if (number == timer) {
                scheduledMillis = Long.MAX_VALUE;
                poll();
            }
        });
    }

    private void cancelScheduled() {
        timer++;
        scheduledMillis = Long.MAX_VALUE;
    }

    /** Receives what a follower reads. */
    interface Listener {

        /** Receives the newest values of all keys. */
        void onSnapshot(Map<String, byte[]> values);

        /** Receives one later record. */
        void onRecord(KeyedRecord record, long offset);

        /**
         * Called when all records up to a time have been received.
         *
         * @param confirmation The time at which the read was sent; {@link Confirmation#NONE} if further records follow.
         * @param relayed Whether another host read the records.
         */
        void onConfirmed(Confirmation confirmation, boolean relayed);

        /** Called when a read failed. */
        default void onReadFailure() {}

        /** Passes what a follower reads to several listeners, in their order. */
        record Compound(List<Listener> listeners) implements Listener {

            @Override
            public void onSnapshot(Map<String, byte[]> values) {
                listeners.forEach(listener -> listener.onSnapshot(values));
            }

            @Override
            public void onRecord(KeyedRecord record, long offset) {
                listeners.forEach(listener -> listener.onRecord(record, offset));
            }

            @Override
            public void onConfirmed(Confirmation confirmation, boolean relayed) {
                listeners.forEach(listener -> listener.onConfirmed(confirmation, relayed));
            }

            @Override
            public void onReadFailure() {
                listeners.forEach(Listener::onReadFailure);
            }
        }
    }
}
