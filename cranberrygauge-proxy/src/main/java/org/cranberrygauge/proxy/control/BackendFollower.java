package org.cranberrygauge.proxy.control;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.cranberrygauge.decision.backend.ColdServers;
import org.cranberrygauge.proxy.backend.Backend;
import org.cranberrygauge.proxy.backend.BackendRegistry;
import org.cranberrygauge.proxy.backend.BackendSnapshot;
import org.cranberrygauge.proxy.backend.ListReading;
import org.cranberrygauge.proxy.backend.ListReading.Source;
import org.cranberrygauge.proxy.store.Confirmation;
import org.cranberrygauge.proxy.store.KeyedRecord;
import org.cranberrygauge.proxy.store.RecordReader;
import org.cranberrygauge.proxy.store.UnreadableRecordException;

/**
 * Keeps the snapshot of backend servers up to date from the entries that they write to the shared log. Not thread-safe.
 */
public final class BackendFollower implements TopicFollower.Listener {

    /** The number of keys with unreadable entries that are tracked, so that each is logged only once. */
    private static final int MAXIMUM_UNREADABLE_KEYS = 200;

    /** The interval between checks whether servers whose entries are gone are still retained. */
    private static final long RETENTION_CHECK_MILLIS = 100;

    private final ControllerContext context;

    private final String topic;

    private final RecordReader<Backend> reader;

    /** Tells by incarnation whether a server has stated in a response that it leaves, whatever its entry says. */
    private final Predicate<String> statedLeaving;

    private final ColdServers cold;

    /** Receives each snapshot that is published. */
    private final Consumer<BackendSnapshot> observer;

    private final TopicRelay relay;

    private final TopicFollower follower;

    private final BackendRegistry registry = new BackendRegistry();

    /** The keys whose unreadable entries were logged. */
    private final Set<String> unreadableKeys = new HashSet<>();

    /** The last read of the list to its end. */
    private ListReading reading = ListReading.NONE;

    /** The identifiers of the servers that were retained at the last publication. */
    private Set<String> lastRetained = Set.of();

    /** Whether a check of the retained servers is scheduled. */
    private boolean checkScheduled;

    /** Whether the list has been read since the retained servers must have registered again. */
    private boolean readAfterRegistration;

    /** The backend servers as last logged, by identifier. */
    private Map<String, Backend> lastLogged = new HashMap<>();

    /**
     * @param statedLeaving Tells by incarnation whether a server has stated in a response that it leaves.
     * @param cold Receives how long backend servers stay cold.
     * @param observer Receives each snapshot that is published.
     * @param drainBoundMillis The time in milliseconds within which a draining backend server must receive no more
     *     requests.
     * @param entryExpiryMillis The shortest outage of the log in which entries of running servers expire, in milliseconds.
     */
    public BackendFollower(
            ControllerContext context,
            TopicRelay relay,
            String topic,
            RecordReader<Backend> reader,
            Predicate<String> statedLeaving,
            ColdServers cold,
            Consumer<BackendSnapshot> observer,
            long drainBoundMillis,
            long entryExpiryMillis) {
        this.relay = relay;
        this.context = context;
        this.topic = topic;
        this.reader = reader;
        this.statedLeaving = statedLeaving;
        this.cold = cold;
        this.observer = observer;
        this.follower = new TopicFollower(
                context, relay, topic, PollSettings.ofServers(drainBoundMillis, entryExpiryMillis), this);
    }

    /** Starts to follow the topic, also when the log comes back from an older copy. */
    public void start() {
        context.log().era().onChange((previous, current) -> registry.recordRollback());
        follower.poll();
    }

    @Override
    public void onSnapshot(Map<String, byte[]> values) {
        registry.recordRead();
        Map<String, Backend> listed = new HashMap<>();
        values.forEach((key, value) -> {
            try {
                Backend backend = reader.read(key, value);
                listed.put(key, backend);
                observeCold(backend);
            } catch (UnreadableRecordException exception) {
                registry.discard(key);
                logUnreadable(key, exception);
            }
        });
        registry.replaceEntries(listed);
    }

    @Override
    public void onRecord(KeyedRecord record, long offset) {
        registry.recordRead();
        if (record.value().isEmpty()) {
            registry.remove(record.key());
            return;
        }
        try {
            Backend backend = reader.read(record.key(), record.value().get());
            registry.put(backend);
            observeCold(backend);
        } catch (UnreadableRecordException exception) {
            registry.discard(record.key());
            logUnreadable(record.key(), exception);
        }
    }

    @Override
    public void onConfirmed(Confirmation read, boolean relayed) {
        registry.recordRead();
        if (read != Confirmation.NONE
                && (reading == ListReading.NONE || read.monotonicMillis() > reading.sentMillis())) {
            reading = new ListReading(relayed ? Source.OTHER_HOST : Source.LOG, read.monotonicMillis());
        }
        publish(context.time().monotonicMillis());
    }

    @Override
    public void onReadFailure() {
        publish(context.time().monotonicMillis());
    }

    /** Publishes the snapshot and logs the changes. */
    private void publish(long now) {
        checkRetained(now);
        BackendSnapshot snapshot = registry.snapshot(reading, statedLeaving);
        context.blackboard().publish(snapshot);
        observer.accept(snapshot);
        Map<String, Backend> present = new HashMap<>();
        for (Backend listed : snapshot.all()) {
            Backend backend = listed.withoutColdTime();
            present.put(backend.id(), backend);
            if (!backend.equals(lastLogged.get(backend.id()))) {
                context.events()
                        .emit(new ControlEvents.BackendListed(
                                backend.id(),
                                backend.pool(),
                                backend.dataCentre(),
                                backend.version(),
                                backend.leaving() ? "leaving" : "ready"));
            }
        }
        for (String id : lastLogged.keySet()) {
            if (!present.containsKey(id)) {
                context.events().emit(new ControlEvents.BackendGone(id));
            }
        }
        lastLogged = present;
        cold.retain(snapshot.incarnations());
    }

    /** Drops the servers whose entries are gone, or checks them again in a moment if they are retained. */
    private void checkRetained(long now) {
        Set<String> retained = registry.retained();
        if (retained.isEmpty()) {
            lastRetained = retained;
            return;
        }
        RetentionDecision decision = relay.retention(now, reading.sentMillis());
        if (decision == RetentionDecision.RETAIN) {
            retained.stream()
                    .filter(id -> !lastRetained.contains(id))
                    .forEach(id -> context.events().emit(new ControlEvents.BackendRetained(id)));
            lastRetained = retained;
            scheduleCheck();
            return;
        }
        registry.dropRetained();
        if (!lastRetained.isEmpty()) {
            context.events().emit(new ControlEvents.RetentionEnded(retained.size(), decision.name()));
        }
        lastRetained = Set.of();
    }

    private void scheduleCheck() {
        if (checkScheduled || lastRetained.isEmpty()) {
            return;
        }
        checkScheduled = true;
        context.timers().after(RETENTION_CHECK_MILLIS, () -> {
            checkScheduled = false;
            long now = context.time().monotonicMillis();
            if (relay.retention(now, reading.sentMillis()) != RetentionDecision.RETAIN) {
                publish(now);
                return;
            }
            readForRetained(now);
            scheduleCheck();
        });
    }

    /** Reads the list once the retained servers must have registered again, without the pause before the next read. */
    private void readForRetained(long now) {
        boolean due = relay.retention(now, now) != RetentionDecision.RETAIN;
        if (due && !readAfterRegistration) {
            follower.poll();
        }
        readAfterRegistration = due;
    }

    /** Records how long a backend server stays cold, and logs when that begins and ends. */
    private void observeCold(Backend backend) {
        long now = context.time().monotonicMillis();
        if (!cold.observe(now, backend.pool(), backend.incarnation(), backend.coldMillis())) {
            return;
        }
        context.events()
                .emit(
                        backend.coldMillis() > 0
                                ? new ControlEvents.BackendCold(backend.incarnation(), backend.coldMillis())
                                : new ControlEvents.BackendWarm(backend.incarnation()));
    }

    /** Logs an unreadable entry, once for each key. */
    private void logUnreadable(String key, UnreadableRecordException exception) {
        if (unreadableKeys.size() < MAXIMUM_UNREADABLE_KEYS && unreadableKeys.add(key)) {
            context.events().emit(new ControlEvents.RecordUnreadable(topic, key, exception.getMessage()));
        }
    }
}
