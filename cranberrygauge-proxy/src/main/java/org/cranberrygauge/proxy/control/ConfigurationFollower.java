package org.cranberrygauge.proxy.control;

import java.util.Map;
import org.cranberrygauge.proxy.configuration.ConfigurationView;
import org.cranberrygauge.proxy.configuration.ProxyConfiguration;
import org.cranberrygauge.proxy.control.TopicFollower.PollSettings;
import org.cranberrygauge.proxy.store.Confirmation;
import org.cranberrygauge.proxy.store.KeyedRecord;
import org.cranberrygauge.proxy.store.RecordReader;
import org.cranberrygauge.proxy.store.UnreadableRecordException;

/**
 * Applies the newest configuration.
 *
 * <p>Invariant: within a process the version never decreases. Not thread-safe.
 */
public final class ConfigurationFollower implements TopicFollower.Listener {

    /** The maximum wait of a read as a fraction of the apply bound; a confirmation is at most twice as old. */
    private static final double WAIT_FRACTION = 0.4;

    /** The maximum age of a relayed read as a fraction of the apply bound. */
    private static final double RELAYED_AGE_FRACTION = 0.7;

    private final ControllerContext context;

    private final String topic;

    private final String key;

    private final TopicRelay relay;

    private final long applyBoundMillis;

    private final RecordReader<ProxyConfiguration> reader;

    /**
     * @param key The key under which the configuration is stored.
     * @param applyBoundMillis The time in milliseconds within which a new configuration must be in force.
     */
    public ConfigurationFollower(
            ControllerContext context,
            TopicRelay relay,
            String topic,
            String key,
            RecordReader<ProxyConfiguration> reader,
            long applyBoundMillis) {
        this.relay = relay;
        this.context = context;
        this.topic = topic;
        this.key = key;
        this.reader = reader;
        this.applyBoundMillis = applyBoundMillis;
    }

    public void start() {
        PollSettings settings = new PollSettings(
                (long) (applyBoundMillis * WAIT_FRACTION), 0, (long) (applyBoundMillis * RELAYED_AGE_FRACTION));
        new TopicFollower(context, relay, topic, settings, this).poll();
    }

    @Override
    public void onSnapshot(Map<String, byte[]> values) {
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
    public void onConfirmed(Confirmation read) {
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
            ConfigurationView view = context.blackboard().configuration();
            long currentVersion =
                    view.configuration().map(ProxyConfiguration::version).orElse(Long.MIN_VALUE);
            if (read.version() <= currentVersion) {
                return;
            }
            context.blackboard().publish(view.withConfiguration(read));
            context.events().emit(new ControlEvents.ConfigurationInForce(read.version(), offset));
        } catch (UnreadableRecordException exception) {
            context.events().emit(new ControlEvents.RecordUnreadable(topic, key, exception.getMessage()));
        }
    }
}
