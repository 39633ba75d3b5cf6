package org.cranberrygauge.proxy.control;

import org.apache.thrift.TBase;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TProtocolUtil;

/** Serializes the messages that hosts exchange. Stateless and thread-safe. */
final class MessageCodec {

    /** The maximum depth of fields of other builds that are skipped; the messages nest less than half as deep. */
    private static final int MAXIMUM_DEPTH = 16;

    static {
        TProtocolUtil.setMaxSkipDepth(MAXIMUM_DEPTH);
    }

    private MessageCodec() {}

    static byte[] write(TBase<?, ?> message) {
        try {
            return new TSerializer(new TCompactProtocol.Factory()).serialize(message);
        } catch (TException exception) {
            throw new IllegalStateException("serialization to memory failed", exception);
        }
    }

    /**
     * Deserializes a message into an empty one.
     *
     * @throws TException If the bytes are not a valid message.
     */
    static <T extends TBase<?, ?>> T read(byte[] bytes, T empty) throws TException {
        new TDeserializer(new TCompactProtocol.Factory()).deserialize(empty, bytes);
        return empty;
    }
}
