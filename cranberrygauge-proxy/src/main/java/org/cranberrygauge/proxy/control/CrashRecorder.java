package org.cranberrygauge.proxy.control;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import org.apache.thrift.TException;
import org.cranberrygauge.protocol.generated.CrashesStored;
import org.cranberrygauge.proxy.store.KeyedRecord;
import org.cranberrygauge.proxy.store.SharedLog.KeyedValues;
import org.cranberrygauge.proxy.store.SharedLogException;
import org.cranberrygauge.proxy.store.SharedLogException.Kind;

/**
 * Stores the crashes for which parts of prompts are blocked in the shared log, so that the parts stay blocked after the
 * loss of all hosts.
 *
 * <p>Invariant: the record, which is replaced as a whole, is replaced only on the condition that this host has read what it
 * holds. Not thread-safe.
 */
public final class CrashRecorder {

    /** The key of the only record, which holds the crashes of all blocked parts. */
    private static final String KEY = "blocked";

    /** The delay before a failed call is retried. */
    private static final long RETRY_MILLIS = 250;

    private final ControllerContext context;

    private final Timers timers;

    private final String topic;

    private final CrashExchange exchange;

    /** Tells whether no other host reads the log for this one, so that it also writes. */
    private final BooleanSupplier readsAlone;

    /** Whether what the log holds differs from what is to be stored. */
    private boolean changed;

    /** The offset up to which this host knows the topic; empty if it has to be read. */
    private OptionalLong end = OptionalLong.empty();

    /** Whether a read is in progress. */
    private boolean reading;

    /** Whether a write is in progress. */
    private boolean storing;

    /** @param readsAlone Tells whether no other host reads the log for this one. */
    public CrashRecorder(
            ControllerContext context,
            Timers timers,
            String topic,
            CrashExchange exchange,
            BooleanSupplier readsAlone) {
        this.context = context;
        this.timers = timers;
        this.topic = topic;
        this.exchange = exchange;
        this.readsAlone = readsAlone;
    }

    /** Reads what earlier processes have stored, and stores each change from then on. */
    public void start() {
        exchange.onBlockedChange(this::recordChange);
        context.log().era().onChange((previous, current) -> {
            end = OptionalLong.empty();
            recordChange();
        });
        read();
    }

    /** Reads what is stored unless that is known, and then stores what has changed. */
    private void read() {
        if (reading || end.isPresent()) {
            return;
        }
        reading = true;
        context.log().newest(topic).onComplete(result -> {
            reading = false;
            if (result.failed()) {
                timers.after(RETRY_MILLIS, this::read);
                return;
            }
            KeyedValues newest = result.result();
            if (newest.values().containsKey(KEY)) {
                apply(newest.values().get(KEY));
            }
            end = OptionalLong.of(newest.end());
            store();
        });
    }

    private void apply(byte[] value) {
        try {
            CrashesStored stored = MessageCodec.read(value, new CrashesStored());
            exchange.receiveStored(stored.getReport(), context.time().wallMillis() - stored.getStoredAtMillis());
        } catch (TException exception) {
            context.events()
                    .emit(new ControlEvents.RecordUnreadable(topic, KEY, String.valueOf(exception.getMessage())));
        }
    }

    private void recordChange() {
        changed = true;
        store();
    }

    /** Stores the crashes of the parts that are blocked now, unless another host does so. */
    private void store() {
        if (!changed || storing || !readsAlone.getAsBoolean()) {
            return;
        }
        if (end.isEmpty()) {
            read();
            return;
        }
        changed = false;
        storing = true;
        CrashesStored stored = new CrashesStored(context.time().wallMillis(), exchange.blockedReport());
        byte[] record = new KeyedRecord(KEY, Optional.of(MessageCodec.write(stored))).bytes();
        context.log().append(topic, record, end).onComplete(result -> {
            storing = false;
            if (result.succeeded()) {
                end = OptionalLong.of(result.result() + 1);
            } else {
                changed = true;
                end = isOutdated(result.cause()) ? OptionalLong.empty() : end;
            }
            timers.after(RETRY_MILLIS, this::store);
        });
    }

    /** Tells whether the topic holds something else than this host knows. */
    private static boolean isOutdated(Throwable failure) {
        return failure instanceof SharedLogException known
                && (known.kind() == Kind.CONFLICT || known.kind() == Kind.ERA_CHANGED);
    }
}
