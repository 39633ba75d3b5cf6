package org.cranberrygauge.proxy.control;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.cranberrygauge.proxy.backend.BackendSnapshot;
import org.cranberrygauge.proxy.store.StoreEra;
import org.cranberrygauge.proxy.stream.OriginLookup;
import org.cranberrygauge.proxy.stream.OriginRecords;
import org.cranberrygauge.proxy.stream.StoredOrigins;
import org.cranberrygauge.proxy.stream.StreamOrigin;

/**
 * Stores the origins of streams in the shared log before streams begin there, and looks them up for a stream that no host
 * knows, as after the loss of all hosts.
 *
 * <p>Invariants: a lookup uses a read that was sent after it was requested, so that a host whose list of backend servers is
 * out of date still learns of every origin; a log that may have lost origins answers no lookup. Not thread-safe.
 */
public final class OriginRecorder implements OriginLookup {

    /** The time that a lookup may take; a caller that comes back later finds the log available again. */
    private static final long LOOKUP_TIMEOUT_MILLIS = 300;

    /** The delay before a failed call is retried. */
    private static final long RETRY_MILLIS = 250;

    private final ControllerContext context;

    private final Timers timers;

    private final OriginTopic topic;

    /** The name of this host. */
    private final String host;

    /** Whether the whole system starts for the first time, so that no stream can have begun before. */
    private final boolean firstStart;

    /** Tells whether no other host reads the log for this one, so that it also maintains the topic. */
    private final BooleanSupplier readsAlone;

    private final OriginRecords records;

    /** The origins that are being stored. */
    private final Set<StreamOrigin> storing = new HashSet<>();

    /** The lookups that wait for the next read. */
    private List<Lookup> waiting = new ArrayList<>();

    /** Whether a read for lookups is in progress. */
    private boolean reading;

    /** Whether the topic was read since the start or since the log last came back from an older copy. */
    private boolean initialized;

    /** Whether the log holds all origins, as of the last read. */
    private boolean complete;

    /** Whether a call that maintains the topic is in progress. */
    private boolean maintaining;

    /**
     * @param host The name of this host.
     * @param firstStart Whether the whole system starts for the first time.
     * @param readsAlone Tells whether no other host reads the log for this one.
     */
    public OriginRecorder(
            ControllerContext context,
            Timers timers,
            String topic,
            String host,
            boolean firstStart,
            BooleanSupplier readsAlone) {
        this.context = context;
        this.timers = timers;
        this.topic = new OriginTopic(context.log(), topic, context.events());
        this.host = host;
        this.firstStart = firstStart;
        this.readsAlone = readsAlone;
        this.records = new OriginRecords(now());
    }

    /** Reads the topic, at first and each time the log comes back from an older copy. */
    public void start() {
        context.log().era().onChange((previous, current) -> {
            records.recordLoss(now());
            initialized = false;
            complete = false;
            publish();
            initialize(false);
        });
        initialize(firstStart);
    }

    /** Stores the origins that are listed for the first time, and publishes at which ones streams may begin. */
    public void observe(BackendSnapshot snapshot) {
        records.recordListed(
                now(), snapshot.all().stream().map(StreamOrigin::of).collect(Collectors.toSet()));
        storeMissing();
        publish();
        maintain();
    }

    @Override
    public void findOnly(String pool, Consumer<Optional<StreamOrigin>> found) {
        Lookup lookup = new Lookup(pool, found);
        waiting.add(lookup);
        timers.after(LOOKUP_TIMEOUT_MILLIS, () -> lookup.complete(Optional.empty()));
        if (!reading) {
            readForLookups();
        }
    }

    /** Answers the lookups that wait by now; those that come meanwhile need another read. */
    private void readForLookups() {
        List<Lookup> lookups = waiting;
        waiting = new ArrayList<>();
        reading = true;
        topic.read().onComplete(result -> {
            reading = false;
            if (result.succeeded()) {
                applyRead(result.result());
            }
            lookups.forEach(lookup -> lookup.complete(
                    result.succeeded()
                            ? result.result().only(lookup.pool, era(), records.listed())
                            : Optional.empty()));
            if (!waiting.isEmpty()) {
                readForLookups();
            }
        });
    }

    /**
     * Reads the topic before anything is stored, and retries until that has succeeded.
     *
     * @param emptyIsComplete Whether an empty topic lacks nothing, which is then stored, unless the log came back from a copy.
     */
    private void initialize(boolean emptyIsComplete) {
        long era = era();
        topic.read()
                .compose(read -> emptyIsComplete
                                && read.origins().isEmpty()
                                && context.log().era().isFirst()
                        ? topic.storeCompleteIfEmpty(era()).otherwiseEmpty().compose(stored -> topic.read())
                        : Future.succeededFuture(read))
                .onSuccess(read -> {
                    boolean outdated = era != StoreEra.UNKNOWN && era != era();
                    if (!initialized && !outdated) {
                        initialized = true;
                        applyRead(read);
                        storeMissing();
                    }
                })
                .onFailure(failure -> timers.after(RETRY_MILLIS, () -> {
                    if (!initialized) {
                        initialize(emptyIsComplete);
                    }
                }));
    }

    private void applyRead(StoredOrigins read) {
        records.recordRead(now(), read);
        boolean nowComplete = read.isComplete(era());
        if (nowComplete != complete) {
            complete = nowComplete;
            context.events()
                    .emit(new ControlEvents.StreamOriginsRead(
                            complete, read.origins().size()));
        }
    }

    /** Stores the listed origins that this host has not stored yet. */
    private void storeMissing() {
        if (!initialized) {
            return;
        }
        for (StreamOrigin origin : records.missing()) {
            if (storing.add(origin)) {
                store(origin);
            }
        }
    }

    private void store(StreamOrigin origin) {
        long era = era();
        topic.store(origin, host, context.time().wallMillis()).onComplete(result -> {
            storing.remove(origin);
            if (result.succeeded() && era == era()) {
                records.recordStored(origin);
                publish();
            } else {
                timers.after(RETRY_MILLIS, this::storeMissing);
            }
        });
    }

    private void publish() {
        context.blackboard().publishStreamOrigins(records.permitted(now()));
    }

    /** Removes an origin that no stream can need any more, or stores that none is missing, if this host has to. */
    private void maintain() {
        boolean completes = !complete && records.isComplete(now());
        boolean removes = !records.removable(now()).isEmpty();
        if (!initialized || maintaining || !(completes || removes) || !readsAlone.getAsBoolean()) {
            return;
        }
        maintaining = true;
        topic.read()
                .compose(read -> {
                    applyRead(read);
                    return maintain(read);
                })
                .onComplete(done -> maintaining = false);
    }

    /** Makes the call that a fresh read still requires. */
    private Future<Void> maintain(StoredOrigins read) {
        if (!complete && records.isComplete(now())) {
            return topic.storeComplete(era());
        }
        Optional<StreamOrigin> removable = records.removable(now()).stream().findFirst();
        if (removable.isEmpty()) {
            return Future.succeededFuture();
        }
        return topic.remove(removable.get(), read)
                .onSuccess(removed -> context.events()
                        .emit(new ControlEvents.StreamOriginRemoved(
                                removable.get().pool(), removable.get().version())));
    }

    private long era() {
        return context.log().era().newest();
    }

    private long now() {
        return context.time().monotonicMillis();
    }

    /** A lookup, which is answered once. */
    private static final class Lookup {

        private final String pool;

        private final Consumer<Optional<StreamOrigin>> found;

        private boolean completed;

        Lookup(String pool, Consumer<Optional<StreamOrigin>> found) {
            this.pool = pool;
            this.found = found;
        }

        void complete(Optional<StreamOrigin> origin) {
            if (!completed) {
                completed = true;
                found.accept(origin);
            }
        }
    }
}
