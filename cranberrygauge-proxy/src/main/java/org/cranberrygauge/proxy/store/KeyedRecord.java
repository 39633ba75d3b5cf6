package org.cranberrygauge.proxy.store;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * A record of a topic in which the newest record of each key counts.
 *
 * @param key The key.
 * @param value The value, or nothing if the key is dropped.
 */
public record KeyedRecord(String key, Optional<byte[]> value) {

    /** The bits of a byte that hold an unsigned length. */
    private static final int UNSIGNED_BYTE = 0xff;

    /**
     * Reads a record: one byte with the length of the key, the key, and the value.
     *
     * @param bytes The bytes.
     * @return The record, or nothing if the bytes are too short.
     */
    public static Optional<KeyedRecord> parse(byte[] bytes) {
        if (bytes.length == 0) {
            return Optional.empty();
        }
        int length = bytes[0] & UNSIGNED_BYTE;
        if (bytes.length < 1 + length) {
            return Optional.empty();
        }
        String key = new String(bytes, 1, length, StandardCharsets.UTF_8);
        byte[] value = Arrays.copyOfRange(bytes, 1 + length, bytes.length);
        return Optional.of(new KeyedRecord(key, value.length == 0 ? Optional.empty() : Optional.of(value)));
    }

    /**
     * Writes the record.
     *
     * @return The bytes.
     */
    public byte[] bytes() {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        byte[] content = value.orElseGet(() -> new byte[0]);
        return ByteBuffer.allocate(1 + name.length + content.length)
                .put((byte) name.length)
                .put(name)
                .put(content)
                .array();
    }
}
