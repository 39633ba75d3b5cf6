package org.cranberrygauge.proxy.control;

import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import org.cranberrygauge.proxy.configuration.ProxyConfiguration;
import org.cranberrygauge.proxy.store.Confirmation;
import org.cranberrygauge.proxy.store.KeyedRecord;
import org.cranberrygauge.proxy.store.RecordReader;
import org.cranberrygauge.proxy.store.UnreadableRecordException;

/**
 * Applies the newest configuration.
 *
 * <p>Invariants: within a process the version never decreases; a read confirms the configuration in force only if what
 * the log holds is neither older than it nor than what other hosts have in force, as it may be after the log has come
 * back from an older copy. Not thread-safe.
 */
public final class ConfigurationFollower implements TopicFollower.Listener {

    private final ControllerContext context;

    private final String topic;

    private final String key;

    private final TopicRelay relay;

    private final long applyBoundMillis;

    private final RecordReader<ProxyConfiguration> reader;

    /** Supplies the highest version that another host has in force. */
    private final LongSupplier versionElsewhere;

    /** Receives the same records. */
    private final TopicFollower.Listener evacuations;

    /** The version that the log held at the last read. */
    private long loggedVersion = Long.MIN_VALUE;

    /**
     * @param key The key under which the configuration is stored.
     * @param versionElsewhere Supplies the highest version that another host has in force.
     * @param evacuations Receives the evacuations, which the operator writes to the same topic.
     * @param applyBoundMillis The time in milliseconds within which a new configuration must be in force.
     */
    public ConfigurationFollower(
            ControllerContext context,
            TopicRelay relay,
            String topic,
            String key,
            RecordReader<ProxyConfiguration> reader,
            LongSupplier versionElsewhere,
            EvacuationFollower evacuations,
            long applyBoundMillis) {
        this.relay = relay;
        this.context = context;
        this.topic = topic;
        this.key = key;
        this.reader = reader;
        this.versionElsewhere = versionElsewhere;
        this.evacuations = evacuations;
        this.applyBoundMillis = applyBoundMillis;
    }

    /** Starts to follow the topic, also on behalf of the evacuations. */
    public void start() {
        TopicFollower.Listener both = new TopicFollower.Listener.Compound(List.of(this, evacuations));
        new TopicFollower(context, relay, topic, PollSettings.ofConfiguration(applyBoundMillis), both).poll();
    }

    @Override
    public void onSnapshot(Map<String, byte[]> values) {
        loggedVersion = Long.MIN_VALUE;
        if (values.containsKey(key)) {
            apply(values.get(key), -1);
        }
    }

    @Override
    public void onRecord(KeyedRecord record, long offset) {
        if (record.key().equals(key) && record.value().isPresent()) {
            apply(record.value().get(), offset);
        }
    }

    @Override
    public void onConfirmed(Confirmation read, boolean relayed) {
        if (loggedVersion < Math.max(currentVersion(), versionElsewhere.getAsLong())) {
            return;
        }
        context.blackboard().publish(context.blackboard().configuration().withConfirmation(read));
    }

    /**
     * Applies a configuration if it is newer than the current one.
     *
     * @param offset The offset of its record; -1 if it was read as part of a snapshot.
     */
    private void apply(byte[] value, long offset) {
        try {
            ProxyConfiguration read = reader.read(key, value);
            loggedVersion = read.version();
            if (read.version() <= currentVersion()) {
                return;
            }
            context.blackboard().publish(context.blackboard().configuration().withConfiguration(read));
            context.events().emit(new ControlEvents.ConfigurationInForce(read.version(), offset));
        } catch (UnreadableRecordException exception) {
            context.events().emit(new ControlEvents.RecordUnreadable(topic, key, exception.getMessage()));
        }
    }

    /** Returns the version in force; {@link Long#MIN_VALUE} if there is none. */
    private long currentVersion() {
        return context.blackboard()
                .configuration()
                .configuration()
                .map(ProxyConfiguration::version)
                .orElse(Long.MIN_VALUE);
    }
}
