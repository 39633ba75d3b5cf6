package org.cranberrygauge.proxy.control;

import java.util.Map;
import org.cranberrygauge.proxy.configuration.ConfigurationView;
import org.cranberrygauge.proxy.configuration.ProxyConfiguration;
import org.cranberrygauge.proxy.control.TopicFollower.Pace;
import org.cranberrygauge.proxy.store.Confirmation;
import org.cranberrygauge.proxy.store.KeyedRecord;
import org.cranberrygauge.proxy.store.RecordReader;
import org.cranberrygauge.proxy.store.UnreadableRecordException;

/**
 * Puts the newest configuration in force.
 *
 * <p>Invariant: within a process the version never falls. Used by one thread.
 */
public final class ConfigurationFollower implements TopicFollower.Listener {

    /** The part of the bound for configurations that a read waits for a change; a confirmation is at most twice as old. */
    private static final double WAIT_PART = 0.4;

    /** The part of the bound for configurations that what another host read may be old. */
    private static final double RELAYED_AGE_PART = 0.7;

    /** The tools. */
    private final ControllerContext tools;

    /** The topic. */
    private final String topic;

    /** The key under which the configuration is kept. */
    private final String key;

    /** Reads through other hosts where that is possible. */
    private final TopicRelay relay;

    /** The time within which a configuration must be in force, in milliseconds. */
    private final long boundMillis;

    /** Reads configurations. */
    private final RecordReader<ProxyConfiguration> reader;

    /**
     * Creates a follower.
     *
     * @param tools The tools.
     * @param relay Reads through other hosts where that is possible.
     * @param topic The topic.
     * @param key The key under which the configuration is kept.
     * @param reader Reads configurations.
     * @param boundMillis The time within which a configuration must be in force, in milliseconds.
     */
    public ConfigurationFollower(
            ControllerContext tools,
            TopicRelay relay,
            String topic,
            String key,
            RecordReader<ProxyConfiguration> reader,
            long boundMillis) {
        this.relay = relay;
        this.tools = tools;
        this.topic = topic;
        this.key = key;
        this.reader = reader;
        this.boundMillis = boundMillis;
    }

    /** Starts to follow. */
    public void start() {
        Pace pace = new Pace((long) (boundMillis * WAIT_PART), 0, (long) (boundMillis * RELAYED_AGE_PART));
        new TopicFollower(tools, relay, topic, pace, this).run();
    }

    @Override
    public void all(Map<String, byte[]> values) {
        if (values.containsKey(key)) {
            take(values.get(key), -1);
        }
    }

    @Override
    public void one(KeyedRecord record, long offset) {
        if (record.key().equals(key) && record.value().isPresent()) {
            take(record.value().get(), offset);
        }
    }

    @Override
    public void confirmed(Confirmation read) {
        tools.board().publish(tools.board().configuration().withConfirmation(read));
    }

    /**
     * Puts a configuration in force if it is newer.
     *
     * @param value The bytes.
     * @param offset The offset of its record; -1 if it was read as the newest.
     */
    private void take(byte[] value, long offset) {
        try {
            ProxyConfiguration read = reader.read(key, value);
            ConfigurationView view = tools.board().configuration();
            long present = view.configuration().map(ProxyConfiguration::version).orElse(Long.MIN_VALUE);
            if (read.version() <= present) {
                return;
            }
            tools.board().publish(view.withConfiguration(read));
            tools.events().emit(new ControlEvents.ConfigurationInForce(read.version(), offset));
        } catch (UnreadableRecordException exception) {
            tools.events().emit(new ControlEvents.RecordUnreadable(topic, key, exception.getMessage()));
        }
    }
}
