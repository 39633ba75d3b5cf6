package org.cranberrygauge.proxy.store;

/**
 * Reads the values that others write into the shared log.
 *
 * <p>Implementations are stateless and safe for use by several threads.
 *
 * @param <T> The type of the values.
 */
public interface RecordReader<T> {

    /**
     * Reads a value.
     *
     * @param key The key.
     * @param value The bytes.
     * @return The value.
     * @throws UnreadableRecordException If the bytes can't be understood.
     */
    T read(String key, byte[] value) throws UnreadableRecordException;
}
