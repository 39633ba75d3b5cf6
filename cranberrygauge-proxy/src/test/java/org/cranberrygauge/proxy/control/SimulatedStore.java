package org.cranberrygauge.proxy.control;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.cranberrygauge.proxy.store.KeyedRecord;
import org.cranberrygauge.proxy.store.PartialLog;
import org.cranberrygauge.proxy.store.SharedLogException;
import org.cranberrygauge.proxy.store.SharedLogException.Kind;

/**
 * A shared log in virtual time that retains records for a limited time, and the newest record of each key of topics whose
 * names begin with "keyed." for good. Calls take some milliseconds. Not thread-safe.
 */
final class SimulatedStore {

    private static final int MAXIMUM_CALL_MILLIS = 8;

    private static final long CALL_TIMEOUT_MILLIS = 1_200;

    /** The number of records that one read returns at most. */
    private static final int PAGE = 40;

    private final VirtualTimeline timeline;

    private final SplittableRandom random;

    private final long retentionMillis;

    private Map<String, Topic> topics = new HashMap<>();

    /** The times at which the memberships of the group expire, in the order in which its members joined. */
    private final Map<String, Long> memberships = new LinkedHashMap<>();

    private long generation;

    private long era = 1;

    /** Whether no call gets an answer. */
    boolean down;

    /** The maximum time that a call takes each way, in milliseconds. */
    int maximumCallMillis = MAXIMUM_CALL_MILLIS;

    SimulatedStore(VirtualTimeline timeline, SplittableRandom random, long retentionMillis) {
        this.timeline = timeline;
        this.random = random;
        this.retentionMillis = retentionMillis;
    }

    /** Returns what the log holds, for a later return to it. */
    Map<String, Topic> copy() {
        Map<String, Topic> copy = new HashMap<>();
        topics.forEach((name, topic) -> copy.put(name, topic.copy()));
        return copy;
    }

    /** Returns to an older copy, which is not used again. */
    void restore(Map<String, Topic> copy) {
        topics = copy;
        era++;
    }

    /** Writes a record of another writer, which reaches the store also while no host does. */
    void write(String topic, KeyedRecord record) {
        topic(topic).add(true, record.bytes(), timeline.wallMillis());
    }

    private Topic topic(String name) {
        return topics.computeIfAbsent(name, created -> new Topic());
    }

    /** The log as one host reaches it. */
    final class Client extends PartialLog {

        /** The timers of the host, by which it receives responses. */
        private final Timers timers;

        /** Whether calls of this host get no answer. */
        boolean cut;

        /** Whether the store rejects the calls of this host. */
        boolean turnedAway;

        /** The time between two calls without an answer, in milliseconds; 0 if all get one. */
        long lossIntervalMillis;

        /** The number of reads. */
        int reads;

        /** The time of the last call that was to get no answer. */
        private long lastLossMillis;

        Client(Timers timers) {
            this.timers = timers;
        }

        @Override
        public Future<Long> append(String topic, byte[] record, OptionalLong expectedEnd) {
            return call(() -> {
                long end = topic(topic).end();
                if (expectedEnd.isPresent() && expectedEnd.getAsLong() != end) {
                    return Future.failedFuture(new SharedLogException(Kind.CONFLICT, "the topic ends at " + end));
                }
                topic(topic).add(topic.startsWith("keyed."), record, timeline.wallMillis());
                return Future.succeededFuture(end);
            });
        }

        @Override
        public Future<LogSlice> read(String topic, long fromOffset, long waitMillis) {
            reads++;
            return call(CALL_TIMEOUT_MILLIS + waitMillis, () -> {
                if (waitMillis == 0 || fromOffset < topic(topic).end()) {
                    return readNow(topic, fromOffset);
                }
                Promise<LogSlice> promise = Promise.promise();
                topic(topic)
                        .waiting
                        .add(() -> readNow(topic, fromOffset).onComplete(read -> promise.tryComplete(read.result())));
                timeline.after(
                        waitMillis,
                        () -> readNow(topic, fromOffset).onComplete(read -> promise.tryComplete(read.result())));
                return promise.future();
            });
        }

        private Future<LogSlice> readNow(String topic, long fromOffset) {
            Topic read = topic(topic);
            read.expire(timeline.wallMillis() - retentionMillis);
            if (fromOffset < read.first) {
                return Future.failedFuture(new SharedLogException(Kind.TRIMMED, "expired", read.first));
            }
            List<byte[]> page = read.records.stream()
                    .skip(fromOffset - read.first)
                    .limit(PAGE)
                    .map(Entry::bytes)
                    .toList();
            return Future.succeededFuture(new LogSlice(read.end(), fromOffset + page.size(), page));
        }

        @Override
        public Future<KeyedValues> newest(String topic) {
            return call(() -> Future.succeededFuture(new KeyedValues(
                    Map.copyOf(topic(topic).newest), topic(topic).end())));
        }

        @Override
        public Future<GroupAssignment> join(
                String group, String member, String topic, long lifetimeMillis, long lastGeneration) {
            return call(() -> {
                long now = timeline.wallMillis();
                boolean expired = memberships.values().removeIf(until -> until < now);
                if (memberships.put(member, now + lifetimeMillis) == null || expired) {
                    generation++;
                }
                boolean holdsFirst = memberships.keySet().iterator().next().equals(member);
                return Future.succeededFuture(new GroupAssignment(era, generation, holdsFirst));
            });
        }

        private <T> Future<T> call(Supplier<Future<T>> carriedOut) {
            return call(CALL_TIMEOUT_MILLIS, carriedOut);
        }

        /** Makes a call, whose response names the era in which it was carried out. */
        private <T> Future<T> call(long timeoutMillis, Supplier<Future<T>> carriedOut) {
            Promise<T> promise = Promise.promise();
            boolean lost = cut || losesNext();
            long sentEra = era().newest();
            timeline.after(1 + random.nextInt(maximumCallMillis), () -> {
                if (lost || down) {
                    return;
                }
                if (turnedAway) {
                    promise.tryFail(new SharedLogException(Kind.TURNED_AWAY, "turned away"));
                    return;
                }
                long answered = era;
                carriedOut
                        .get()
                        .onComplete(result -> timers.after(1 + random.nextInt(maximumCallMillis), () -> {
                            if (cut || down) {
                                return;
                            }
                            if (!era().observe(answered) || (sentEra != 0 && sentEra != answered)) {
                                promise.tryFail(new SharedLogException(Kind.ERA_CHANGED, "another era"));
                            } else if (result.succeeded()) {
                                promise.tryComplete(result.result());
                            } else {
                                promise.tryFail(result.cause());
                            }
                        }));
            });
            timers.after(timeoutMillis, () -> promise.tryFail(new SharedLogException(Kind.NO_ANSWER, "timeout")));
            return promise.future();
        }

        private boolean losesNext() {
            long now = timeline.wallMillis();
            if (lossIntervalMillis == 0 || now - lastLossMillis < lossIntervalMillis) {
                return false;
            }
            lastLossMillis = now;
            return true;
        }
    }

    /** A topic with one partition. */
    static final class Topic {

        private final List<Entry> records = new ArrayList<>();

        private final Map<String, byte[]> newest = new TreeMap<>();

        private long first;

        /** The reads that wait for a record. */
        private final List<Runnable> waiting = new ArrayList<>();

        private long end() {
            return first + records.size();
        }

        private void add(boolean keyed, byte[] record, long nowMillis) {
            records.add(new Entry(record, nowMillis));
            if (keyed) {
                KeyedRecord parsed = KeyedRecord.parse(record).orElseThrow();
                parsed.value()
                        .ifPresentOrElse(value -> newest.put(parsed.key(), value), () -> newest.remove(parsed.key()));
            }
            List<Runnable> awaited = List.copyOf(waiting);
            waiting.clear();
            awaited.forEach(Runnable::run);
        }

        private void expire(long beforeMillis) {
            while (!records.isEmpty() && records.get(0).atMillis() < beforeMillis) {
                records.remove(0);
                first++;
            }
        }

        private Topic copy() {
            Topic copy = new Topic();
            copy.records.addAll(records);
            copy.newest.putAll(newest);
            copy.first = first;
            return copy;
        }
    }

    private record Entry(byte[] bytes, long atMillis) {}
}
