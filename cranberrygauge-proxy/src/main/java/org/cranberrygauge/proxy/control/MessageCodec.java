package org.cranberrygauge.proxy.control;

import org.apache.thrift.TBase;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;

/**
 * Writes and reads the messages that the hosts of the proxy exchange.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class MessageCodec {

    /** Prevents instances. */
    private MessageCodec() {}

    /**
     * Writes a message.
     *
     * @param message The message.
     * @return The bytes.
     */
    static byte[] write(TBase<?, ?> message) {
        try {
            return new TSerializer(new TCompactProtocol.Factory()).serialize(message);
        } catch (TException exception) {
            throw new IllegalStateException("memory can always be written", exception);
        }
    }

    /**
     * Reads a message.
     *
     * @param bytes The bytes.
     * @param empty An empty message, which is filled in.
     * @param <T> The type of the message.
     * @return The message.
     * @throws TException If the bytes can't be understood.
     */
    static <T extends TBase<?, ?>> T read(byte[] bytes, T empty) throws TException {
        new TDeserializer(new TCompactProtocol.Factory()).deserialize(empty, bytes);
        return empty;
    }
}
