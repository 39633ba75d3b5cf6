package org.cranberrygauge.proxy.store;

import io.vertx.core.Future;
import java.util.OptionalLong;

/** A log for tests that supports only what a subclass overrides. */
public abstract class PartialLog implements SharedLog {

    private final StoreEra era = new StoreEra();

    @Override
    public StoreEra era() {
        return era;
    }

    @Override
    public Future<Long> append(String topic, byte[] record, OptionalLong expectedEnd) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Future<Long> put(String topic, String key, byte[] value) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Future<LogSlice> read(String topic, long fromOffset, long waitMillis) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Future<KeyedValues> newest(String topic) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Future<GroupAssignment> join(
            String group, String member, String topic, long lifetimeMillis, long generation) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Future<Void> leave(String group, String member) {
        throw new UnsupportedOperationException();
    }
}
