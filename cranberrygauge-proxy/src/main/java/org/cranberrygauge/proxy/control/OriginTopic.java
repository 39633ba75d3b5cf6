package org.cranberrygauge.proxy.control;

import io.vertx.core.Future;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.apache.thrift.TException;
import org.cranberrygauge.decision.topology.StableHash;
import org.cranberrygauge.protocol.generated.OriginStored;
import org.cranberrygauge.protocol.generated.OriginsComplete;
import org.cranberrygauge.proxy.store.KeyedRecord;
import org.cranberrygauge.proxy.store.SharedLog;
import org.cranberrygauge.proxy.store.SharedLog.KeyedValues;
import org.cranberrygauge.proxy.stream.StoredOrigins;
import org.cranberrygauge.proxy.stream.StreamOrigin;
import org.cranberrygauge.runtime.event.EventLog;

/**
 * The topic of the shared log with the origins of streams: a record for each origin, and one that states that none is
 * missing. If a record can't be read, origins may be missing. Not thread-safe.
 */
final class OriginTopic {

    /** The key of the record that states that none is missing; those of origins are hexadecimal numbers. */
    private static final String COMPLETE_KEY = "complete";

    private final SharedLog log;

    private final String topic;

    private final EventLog events;

    /** Whether a record that can't be read was logged. */
    private boolean unreadableLogged;

    OriginTopic(SharedLog log, String topic, EventLog events) {
        this.log = log;
        this.topic = topic;
        this.events = events;
    }

    Future<StoredOrigins> read() {
        return log.newest(topic).map(this::parse);
    }

    /**
     * Stores an origin.
     *
     * @param host The name of this host.
     * @param wallMillis The time in milliseconds since the epoch.
     */
    Future<Void> store(StreamOrigin origin, String host, long wallMillis) {
        OriginStored stored = new OriginStored(origin.pool(), origin.version(), host, wallMillis);
        return log.put(topic, key(origin), MessageCodec.write(stored)).mapEmpty();
    }

    /** Removes an origin if nothing was stored since a read. */
    Future<Void> remove(StreamOrigin origin, StoredOrigins read) {
        byte[] deletion = new KeyedRecord(key(origin), Optional.empty()).bytes();
        return log.append(topic, deletion, OptionalLong.of(read.end())).mapEmpty();
    }

    /** Stores that no origin is missing in an era of the log. */
    Future<Void> storeComplete(long era) {
        return log.put(topic, COMPLETE_KEY, completeRecord(era)).mapEmpty();
    }

    /** Stores that no origin is missing in an era of the log, if the topic holds nothing yet. */
    Future<Void> storeCompleteIfEmpty(long era) {
        byte[] record = new KeyedRecord(COMPLETE_KEY, Optional.of(completeRecord(era))).bytes();
        return log.append(topic, record, OptionalLong.of(0)).mapEmpty();
    }

    private static byte[] completeRecord(long era) {
        return MessageCodec.write(new OriginsComplete(era));
    }

    private static String key(StreamOrigin origin) {
        return Long.toHexString(StableHash.update(StableHash.START, origin.pool() + '\n' + origin.version()));
    }

    private StoredOrigins parse(KeyedValues newest) {
        Map<StreamOrigin, String> origins = new HashMap<>();
        OptionalLong completeEra = OptionalLong.empty();
        boolean readable = true;
        for (Map.Entry<String, byte[]> entry : newest.values().entrySet()) {
            try {
                if (entry.getKey().equals(COMPLETE_KEY)) {
                    completeEra = OptionalLong.of(MessageCodec.read(entry.getValue(), new OriginsComplete())
                            .getEra());
                } else {
                    OriginStored stored = MessageCodec.read(entry.getValue(), new OriginStored());
                    origins.put(
                            new StreamOrigin(stored.getPool(), stored.getVersion()),
                            HexFormat.of().formatHex(entry.getValue()));
                }
            } catch (TException exception) {
                readable = false;
                logUnreadable(entry.getKey(), exception);
            }
        }
        return new StoredOrigins(origins, readable ? completeEra : OptionalLong.empty(), newest.end());
    }

    private void logUnreadable(String key, TException exception) {
        if (!unreadableLogged) {
            unreadableLogged = true;
            events.emit(new ControlEvents.RecordUnreadable(topic, key, String.valueOf(exception.getMessage())));
        }
    }
}
