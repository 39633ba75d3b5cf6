package org.cranberrygauge.runtime.http;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;

/**
 * Makes a connection read until its socket is empty whenever there is input.
 *
 * <p>By default, Netty stops after a read that did not fill its buffer, and reads the end of the connection in the next
 * turn of the event loop. A server that was blocked for a while would then process a request whose caller has already
 * disconnected. Stateless and thread-safe.
 */
public final class ExhaustiveReads {

    /** The number of reads in one turn of the event loop, so that a busy connection doesn't starve the others. */
    private static final int MAXIMUM_READS = 16;

    private ExhaustiveReads() {}

    /** Applies to a connection that has just been opened, before its first read. */
    public static void enable(HttpConnection connection) {
        AdaptiveRecvByteBufAllocator reads = new AdaptiveRecvByteBufAllocator();
        reads.respectMaybeMoreData(false).maxMessagesPerRead(MAXIMUM_READS);
        ((ConnectionBase) connection).channel().config().setRecvByteBufAllocator(reads);
    }
}
