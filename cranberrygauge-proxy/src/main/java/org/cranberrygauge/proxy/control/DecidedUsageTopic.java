package org.cranberrygauge.proxy.control;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.apache.thrift.TException;
import org.cranberrygauge.protocol.generated.UsageDecided;
import org.cranberrygauge.proxy.leader.UsageDecision;
import org.cranberrygauge.proxy.leader.UsageDecisions;
import org.cranberrygauge.proxy.store.KeyedRecord;
import org.cranberrygauge.proxy.store.SharedLog;
import org.cranberrygauge.proxy.store.SharedLog.KeyedValues;
import org.cranberrygauge.runtime.event.EventLog;

/**
 * The topic of the shared log with the decided figures of usage windows.
 *
 * <p>The newest record of each key is retained whatever the retention of the log is. The keys are a fixed number, and those
 * of the newest windows replace the oldest ones, so that a read always returns the newest windows. Not thread-safe.
 */
final class DecidedUsageTopic {

    private final SharedLog log;

    private final String topic;

    private final EventLog events;

    DecidedUsageTopic(SharedLog log, String topic, EventLog events) {
        this.log = log;
        this.topic = topic;
        this.events = events;
    }

    /** Reads the decisions on the newest windows; a record that can't be read is left out. */
    Future<StoredDecisions> read() {
        return log.newest(topic).map(this::parse);
    }

    /**
     * Writes a decision on the condition that nothing was written since a read.
     *
     * @param end The offset at which the topic ended.
     * @return The offset at which it ends now.
     */
    Future<Long> write(UsageDecision decision, long end) {
        UsageDecided decided = new UsageDecided(decision.window(), decision.byCustomer());
        if (decision.era() != UsageDecision.UNKNOWN_ERA) {
            decided.setEra(decision.era());
        }
        byte[] record = new KeyedRecord(key(decision.window()), Optional.of(MessageCodec.write(decided))).bytes();
        return log.append(topic, record, OptionalLong.of(end)).map(offset -> offset + 1);
    }

    private static String key(long window) {
        return Long.toString(Math.floorMod(window, UsageDecisions.RETAINED_WINDOWS));
    }

    private StoredDecisions parse(KeyedValues newest) {
        List<UsageDecision> decisions = new ArrayList<>();
        for (Map.Entry<String, byte[]> entry : newest.values().entrySet()) {
            try {
                UsageDecided decided = MessageCodec.read(entry.getValue(), new UsageDecided());
                long era = decided.isSetEra() ? decided.getEra() : UsageDecision.UNKNOWN_ERA;
                decisions.add(new UsageDecision(decided.getWindow(), decided.getByCustomer(), era));
            } catch (TException exception) {
                events.emit(new ControlEvents.RecordUnreadable(
                        topic, entry.getKey(), String.valueOf(exception.getMessage())));
            }
        }
        return new StoredDecisions(decisions, newest.end());
    }

    /**
     * What the topic holds.
     *
     * @param end The offset at which the topic ended.
     */
    record StoredDecisions(List<UsageDecision> decisions, long end) {}
}
