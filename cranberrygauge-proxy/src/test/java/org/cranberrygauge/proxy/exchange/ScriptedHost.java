package org.cranberrygauge.proxy.exchange;

import io.netty.channel.ChannelOption;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.impl.ConnectionBase;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.cranberrygauge.model.backend.NetworkAddress;

/** Another host, which writes the bytes that a test wants for each request with the body {@link #BODY}. Thread-safe. */
final class ScriptedHost {

    static final String BODY = "body";

    private final Vertx vertx;

    private final NetServer server;

    private final Set<NetSocket> open = ConcurrentHashMap.newKeySet();

    private volatile NetSocket last;

    /** What is written for each request, each part at once. */
    private volatile List<String> answer = List.of("");

    /** What precedes each write of an answer but the first; it may block. */
    volatile Pause betweenWrites = () -> {};

    /** Whether connections are reset in place of being closed. */
    volatile boolean resets;

    /** Whether connections are kept open. */
    volatile boolean keeps;

    /** The number of connections that were opened. */
    final AtomicInteger connections = new AtomicInteger();

    /** The number of requests that arrived. */
    final AtomicInteger arrivals = new AtomicInteger();

    ScriptedHost(Vertx vertx) throws Exception {
        this.vertx = vertx;
        server = vertx.createNetServer()
                .connectHandler(this::serve)
                .listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get(10, TimeUnit.SECONDS);
    }

    NetworkAddress address() {
        return new NetworkAddress("127.0.0.1", server.actualPort());
    }

    void answer(String... writes) {
        answer = List.of(writes);
    }

    /** Writes bytes on the connection of the request that arrived last, and returns when they are written. */
    void write(String text) throws Exception {
        get(last.write(text));
    }

    /** Closes all connections, and returns when they are closed. */
    void closeConnections() throws Exception {
        for (NetSocket socket : open) {
            get(socket.close());
        }
    }

    private static void get(Future<Void> future) throws Exception {
        future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    private void serve(NetSocket socket) {
        connections.incrementAndGet();
        open.add(socket);
        socket.closeHandler(closed -> open.remove(socket));
        StringBuilder received = new StringBuilder();
        socket.handler(bytes -> {
            received.append(bytes.toString(StandardCharsets.US_ASCII));
            if (received.toString().endsWith("\r\n\r\n" + BODY)) {
                received.setLength(0);
                last = socket;
                arrivals.incrementAndGet();
                write(socket, answer);
            }
        });
    }

    private void write(NetSocket socket, List<String> writes) {
        Future<Void> written = Future.succeededFuture();
        for (int index = 0; index < writes.size(); index++) {
            String bytes = writes.get(index);
            written = (index == 0 ? written : written.compose(done -> pause())).compose(done -> socket.write(bytes));
        }
        written.onComplete(done -> end(socket));
    }

    private Future<Void> pause() {
        return vertx.executeBlocking(() -> {
            betweenWrites.await();
            return null;
        });
    }

    private void end(NetSocket socket) {
        if (keeps) {
            return;
        }
        if (resets) {
            ((ConnectionBase) socket).channel().config().setOption(ChannelOption.SO_LINGER, 0);
        }
        socket.close();
    }

    /** What precedes a write. */
    interface Pause {

        void await() throws Exception;
    }
}
