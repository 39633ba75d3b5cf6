package org.cranberrygauge.proxy.store;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * A record of a topic in which the newest record of each key is authoritative.
 *
 * @param value The value, or empty if the record deletes the key.
 */
public record KeyedRecord(String key, Optional<byte[]> value) {

    private static final int UNSIGNED_BYTE_MASK = 0xff;

    /**
     * Parses a record: one byte with the length of the key, the key, and the value. An empty value deletes the key.
     *
     * @return The record, or empty if the bytes are too short.
     */
    public static Optional<KeyedRecord> parse(byte[] bytes) {
        if (bytes.length == 0) {
            return Optional.empty();
        }
        int length = bytes[0] & UNSIGNED_BYTE_MASK;
        if (bytes.length < 1 + length) {
            return Optional.empty();
        }
        String key = new String(bytes, 1, length, StandardCharsets.UTF_8);
        byte[] value = Arrays.copyOfRange(bytes, 1 + length, bytes.length);
        return Optional.of(new KeyedRecord(key, value.length == 0 ? Optional.empty() : Optional.of(value)));
    }

    /** Serializes the record in the format that {@link #parse(byte[])} reads. */
    public byte[] bytes() {
        byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
        byte[] valueBytes = value.orElseGet(() -> new byte[0]);
        return ByteBuffer.allocate(1 + keyBytes.length + valueBytes.length)
                .put((byte) keyBytes.length)
                .put(keyBytes)
                .put(valueBytes)
                .array();
    }
}
