package org.cranberrygauge.proxy.control;

import java.util.Map;
import java.util.Optional;
import org.cranberrygauge.proxy.configuration.ConfigurationView;
import org.cranberrygauge.proxy.configuration.ProxyConfiguration;
import org.cranberrygauge.proxy.store.KeyedRecord;
import org.cranberrygauge.proxy.store.RecordReader;
import org.cranberrygauge.proxy.store.UnreadableRecordException;

/**
 * Puts the newest configuration in force.
 *
 * <p>Invariant: within a process the version never falls. Used by one thread.
 */
public final class ConfigurationFollower implements TopicFollower.Listener {

    /** The tools. */
    private final ControlTools tools;

    /** The topic. */
    private final String topic;

    /** The key under which the configuration is kept. */
    private final String key;

    /** The longest time that a read waits for a change, in milliseconds; a confirmation is at most twice as old. */
    private final long waitMillis;

    /** Reads configurations. */
    private final RecordReader<ProxyConfiguration> reader;

    /**
     * Creates a follower.
     *
     * @param tools The tools.
     * @param topic The topic.
     * @param key The key under which the configuration is kept.
     * @param reader Reads configurations.
     * @param waitMillis The longest time that a read waits for a change, in milliseconds.
     */
    public ConfigurationFollower(
            ControlTools tools, String topic, String key, RecordReader<ProxyConfiguration> reader, long waitMillis) {
        this.tools = tools;
        this.topic = topic;
        this.key = key;
        this.reader = reader;
        this.waitMillis = waitMillis;
    }

    /** Starts to follow. */
    public void start() {
        new TopicFollower(tools, topic, waitMillis, 0, this).run();
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
    public void confirmed(long sentMillis, long sentWallMillis) {
        tools.board().publish(tools.board().configuration().withConfirmation(sentMillis, sentWallMillis));
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
            tools.board()
                    .publish(new ConfigurationView(
                            Optional.of(read), view.confirmedMillis(), view.confirmedWallMillis()));
            tools.events().emit(new ControlEvents.ConfigurationInForce(read.version(), offset));
        } catch (UnreadableRecordException exception) {
            tools.events().emit(new ControlEvents.RecordUnreadable(topic, key, exception.getMessage()));
        }
    }
}
