package org.cranberrygauge.proxy.control;

import java.util.function.BooleanSupplier;
import org.apache.thrift.TException;
import org.cranberrygauge.protocol.generated.CrashesStored;
import org.cranberrygauge.proxy.control.StreamOriginExchange.Timers;

/**
 * Stores the crashes for which parts of prompts are blocked in the shared log, so that the parts stay blocked after the
 * loss of all hosts.
 *
 * <p>Invariant: nothing is stored before what is stored was read, since the record is replaced as a whole. Not thread-safe.
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

    /** Whether what earlier processes have stored was read. */
    private boolean initialized;

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
        context.log().era().onChange((previous, current) -> recordChange());
        read();
    }

    private void read() {
        context.log()
                .newest(topic)
                .onSuccess(newest -> {
                    if (newest.values().containsKey(KEY)) {
                        apply(newest.values().get(KEY));
                    }
                    initialized = true;
                    store();
                })
                .onFailure(failure -> timers.after(RETRY_MILLIS, this::read));
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
        if (!changed || !initialized || storing || !readsAlone.getAsBoolean()) {
            return;
        }
        changed = false;
        storing = true;
        CrashesStored stored = new CrashesStored(context.time().wallMillis(), exchange.blockedReport());
        context.log().put(topic, KEY, MessageCodec.write(stored)).onComplete(result -> {
            storing = false;
            changed |= result.failed();
            timers.after(RETRY_MILLIS, this::store);
        });
    }
}
