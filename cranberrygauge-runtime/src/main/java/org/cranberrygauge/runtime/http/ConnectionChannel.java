package org.cranberrygauge.runtime.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.AbstractNioChannel;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * The channel below a connection.
 *
 * <p>{@link HttpConnection#close()} closes a connection after its queued bytes are written, and so never closes the
 * connection of a peer that has stopped reading. Stateless and thread-safe.
 */
public final class ConnectionChannel {

    /** The value of the socket option for a close in the background. */
    private static final int NO_LINGER = -1;

    private ConnectionChannel() {}

    /** Closes a connection without writing what is queued for it; bypasses the handlers that would write it first. */
    public static void closeNow(HttpConnection connection) {
        ((ConnectionBase) connection).channel().pipeline().firstContext().close();
    }

    /**
     * Sets whether the end of a connection resets it, so that the peer does not take it for an orderly close. This also holds
     * for the end of the process. What was not sent by then is dropped.
     */
    public static void resetOnClose(HttpConnection connection, boolean reset) {
        Channel channel = ((ConnectionBase) connection).channel();
        if (channel.isOpen()) {
            channel.config().setOption(ChannelOption.SO_LINGER, reset ? 0 : NO_LINGER);
        }
    }

    /**
     * Reads what the peer has sent, so that a connection that the peer has closed is closed here, too. Called on the event
     * loop of the connection, and not while it processes input of the connection.
     */
    public static void readPending(HttpConnection connection) {
        Channel channel = ((ConnectionBase) connection).channel();
        if (channel.isOpen() && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe) {
            unsafe.read();
        }
    }

    /**
     * Closes a connection after what is queued for it is written, or after a time if the peer doesn't read that. Called on the
     * event loop of the connection.
     */
    public static void closeWithin(HttpConnection connection, long millis) {
        Channel channel = ((ConnectionBase) connection).channel();
        connection.close();
        if (channel.isOpen()) {
            Future<?> timer = channel.eventLoop().schedule(() -> closeNow(connection), millis, TimeUnit.MILLISECONDS);
            channel.closeFuture().addListener(closed -> timer.cancel(false));
        }
    }

    /** Returns the bytes that are queued for the peer, on the event loop of the connection. */
    static long unwrittenBytes(HttpConnection connection) {
        ChannelOutboundBuffer queued =
                ((ConnectionBase) connection).channel().unsafe().outboundBuffer();
        return queued == null ? 0 : queued.totalPendingWriteBytes();
    }

    /** Handles what the peer has sent by now, and then runs an action on the event loop of the connection. May be called on any thread. */
    static void afterPending(HttpConnection connection, Runnable action) {
        ((ConnectionBase) connection).channel().eventLoop().execute(() -> {
            readPending(connection);
            action.run();
        });
    }

    /**
     * Closes a connection, and runs an action on its event loop once its handlers know. Netty tells them in a task, which
     * precedes the second of two tasks that are started one by the other.
     */
    static void close(HttpConnection connection, Runnable closed) {
        Channel channel = ((ConnectionBase) connection).channel();
        EventLoop loop = channel.eventLoop();
        channel.closeFuture().addListener(done -> loop.execute(() -> loop.execute(closed)));
        connection.close();
    }

    public static boolean isOpen(HttpConnection connection) {
        return ((ConnectionBase) connection).channel().isOpen();
    }
}
