package org.cranberrygauge.proxy.store;

/**
 * Decodes the values that other processes write to the shared log. Implementations are stateless and thread-safe.
 *
 * @param <T> The type of the values.
 */
public interface RecordReader<T> {

    /**
     * Decodes the value of a key.
     *
     * @throws UnreadableRecordException If the bytes are not a valid value.
     */
    T read(String key, byte[] value) throws UnreadableRecordException;
}
