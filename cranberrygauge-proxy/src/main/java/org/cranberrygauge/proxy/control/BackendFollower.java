package org.cranberrygauge.proxy.control;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.cranberrygauge.proxy.backend.Backend;
import org.cranberrygauge.proxy.backend.BackendRegistry;
import org.cranberrygauge.proxy.backend.BackendSnapshot;
import org.cranberrygauge.proxy.control.TopicFollower.Pace;
import org.cranberrygauge.proxy.store.Confirmation;
import org.cranberrygauge.proxy.store.KeyedRecord;
import org.cranberrygauge.proxy.store.RecordReader;
import org.cranberrygauge.proxy.store.UnreadableRecordException;

/**
 * Keeps the catalogue of backend servers up to date from the entries that they write.
 *
 * <p>Used by one thread.
 */
public final class BackendFollower implements TopicFollower.Listener {

    /** The longest time that a read waits for a record, in milliseconds. */
    private static final long WAIT_MILLIS = 500;

    /** The keys whose unreadable entries are remembered, so that each is logged once. */
    private static final int REMEMBERED_UNREADABLE = 200;

    /** The part of the bound for leaving backend servers that a pause between reads takes. */
    private static final double PAUSE_PART = 0.33;

    /** The part of the bound for leaving backend servers that what another host read may be old. */
    private static final double RELAYED_AGE_PART = 0.6;

    /** The tools. */
    private final ControllerContext tools;

    /** The topic. */
    private final String topic;

    /** Reads entries. */
    private final RecordReader<Backend> reader;

    /** Reads through other hosts where that is possible. */
    private final TopicRelay relay;

    /** The time within which a leaving backend server must get no more requests, in milliseconds. */
    private final long boundMillis;

    /** The entries. */
    private final BackendRegistry register = new BackendRegistry();

    /** The keys whose unreadable entries were logged. */
    private final Set<String> unreadable = new HashSet<>();

    /** The backend servers as they were last logged, by identifier. */
    private Map<String, Backend> logged = new HashMap<>();

    /**
     * Creates a follower.
     *
     * @param tools The tools.
     * @param relay Reads through other hosts where that is possible.
     * @param topic The topic.
     * @param reader Reads entries.
     * @param boundMillis The time within which a leaving backend server must get no more requests, in milliseconds.
     */
    public BackendFollower(
            ControllerContext tools, TopicRelay relay, String topic, RecordReader<Backend> reader, long boundMillis) {
        this.relay = relay;
        this.tools = tools;
        this.topic = topic;
        this.reader = reader;
        this.boundMillis = boundMillis;
    }

    /** Starts to follow. */
    public void start() {
        Pace pace = new Pace(WAIT_MILLIS, (long) (boundMillis * PAUSE_PART), (long) (boundMillis * RELAYED_AGE_PART));
        new TopicFollower(tools, relay, topic, pace, this).run();
    }

    @Override
    public void all(Map<String, byte[]> values) {
        register.reached(tools.time().monotonicMillis());
        Map<String, Backend> listed = new HashMap<>();
        values.forEach((key, value) -> {
            try {
                listed.put(key, reader.read(key, value));
            } catch (UnreadableRecordException exception) {
                register.drop(key);
                logUnreadable(key, exception);
            }
        });
        register.replaceAll(tools.time().monotonicMillis(), listed);
    }

    @Override
    public void one(KeyedRecord record, long offset) {
        long now = tools.time().monotonicMillis();
        register.reached(now);
        if (record.value().isEmpty()) {
            register.remove(now, record.key());
            return;
        }
        try {
            register.put(reader.read(record.key(), record.value().get()));
        } catch (UnreadableRecordException exception) {
            register.drop(record.key());
            logUnreadable(record.key(), exception);
        }
    }

    @Override
    public void confirmed(Confirmation read) {
        long now = tools.time().monotonicMillis();
        register.reached(now);
        publish(now);
    }

    @Override
    public void failed() {
        publish(tools.time().monotonicMillis());
    }

    /**
     * Publishes the catalogue and logs what changed.
     *
     * @param now The present monotonic time in milliseconds.
     */
    private void publish(long now) {
        BackendSnapshot catalogue = register.catalogue(now);
        tools.board().publish(catalogue);
        Map<String, Backend> present = new HashMap<>();
        for (Backend backend : catalogue.all()) {
            present.put(backend.id(), backend);
            if (!backend.equals(logged.get(backend.id()))) {
                tools.events()
                        .emit(new ControlEvents.BackendListed(
                                backend.id(),
                                backend.pool(),
                                backend.dataCentre(),
                                backend.leaving() ? "leaving" : "ready"));
            }
        }
        for (String id : logged.keySet()) {
            if (!present.containsKey(id)) {
                tools.events().emit(new ControlEvents.BackendGone(id));
            }
        }
        logged = present;
    }

    /**
     * Logs an entry that can't be understood, once for each key.
     *
     * @param key The key.
     * @param exception What is wrong.
     */
    private void logUnreadable(String key, UnreadableRecordException exception) {
        if (unreadable.size() < REMEMBERED_UNREADABLE && unreadable.add(key)) {
            tools.events().emit(new ControlEvents.RecordUnreadable(topic, key, exception.getMessage()));
        }
    }
}
