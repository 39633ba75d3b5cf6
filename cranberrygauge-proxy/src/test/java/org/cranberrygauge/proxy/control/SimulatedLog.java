package org.cranberrygauge.proxy.control;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import org.cranberrygauge.proxy.store.KeyedRecord;
import org.cranberrygauge.proxy.store.PartialLog;
import org.cranberrygauge.proxy.store.SharedLogException;

/** One topic of a shared log in virtual time, whose calls take some milliseconds. Not thread-safe. */
final class SimulatedLog {

    private static final int MAXIMUM_CALL_MILLIS = 8;

    private static final long CALL_TIMEOUT_MILLIS = 1_200;

    private final VirtualTimeline timeline;

    private final SplittableRandom random;

    private final List<byte[]> records = new ArrayList<>();

    private long era = 1;

    SimulatedLog(VirtualTimeline timeline, SplittableRandom random) {
        this.timeline = timeline;
        this.random = random;
    }

    /** Returns the number of records for a later return to them. */
    int copy() {
        return records.size();
    }

    /** Returns to an older copy. */
    void restore(int copy) {
        records.subList(copy, records.size()).clear();
        era++;
    }

    List<byte[]> records() {
        return records;
    }

    /** The log as one host reaches it. */
    final class Client extends PartialLog {

        /** Whether calls of this host get no answer. */
        boolean cut;

        @Override
        public Future<Long> put(String topic, String key, byte[] value) {
            return append(topic, new KeyedRecord(key, Optional.of(value)).bytes(), OptionalLong.empty());
        }

        @Override
        public Future<Long> append(String topic, byte[] record, OptionalLong expectedEnd) {
            return call(() -> {
                if (expectedEnd.isPresent() && expectedEnd.getAsLong() != records.size()) {
                    return Future.failedFuture(new SharedLogException(SharedLogException.Kind.CONFLICT, "end"));
                }
                records.add(record);
                return Future.succeededFuture(records.size() - 1L);
            });
        }

        @Override
        public Future<KeyedValues> newest(String topic) {
            return call(() -> {
                Map<String, byte[]> values = new HashMap<>();
                for (byte[] record : records) {
                    KeyedRecord keyed = KeyedRecord.parse(record).orElseThrow();
                    keyed.value()
                            .ifPresentOrElse(value -> values.put(keyed.key(), value), () -> values.remove(keyed.key()));
                }
                return Future.succeededFuture(new KeyedValues(values, records.size()));
            });
        }

        /** Makes a call, whose response names the era in which it was carried out. */
        private <T> Future<T> call(Supplier<Future<T>> carriedOut) {
            Promise<T> promise = Promise.promise();
            boolean lost = cut;
            timeline.after(1 + random.nextInt(MAXIMUM_CALL_MILLIS), () -> {
                if (lost) {
                    return;
                }
                long answered = era;
                Future<T> result = carriedOut.get();
                timeline.after(1 + random.nextInt(MAXIMUM_CALL_MILLIS), () -> {
                    if (era().observe(answered)) {
                        result.onComplete(promise);
                    }
                });
            });
            timeline.after(
                    CALL_TIMEOUT_MILLIS,
                    () -> promise.tryFail(new SharedLogException(SharedLogException.Kind.NO_ANSWER, "timeout")));
            return promise.future();
        }
    }
}
