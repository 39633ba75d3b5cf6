package org.cranberrygauge.runtime.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.impl.headers.HeadersAdaptor;
import io.vertx.core.net.impl.ConnectionBase;
import java.util.function.Predicate;

/**
 * Drops the responses on a client's kept connection of which nothing tells that they belong to the request in progress.
 *
 * <p>A server may write a response once more, where the next one is expected. Invariants: a response that names no request
 * is passed on only if it is the first one of its connection; such a response closes its connection when it has ended, so
 * that no request follows it there; after any other one that names none, the connection fails and nothing more is read.
 * Used by the event loop of its connection.
 */
public final class UnnamedResponses extends ChannelInboundHandlerAdapter {

    private final Predicate<MultiMap> namesRequest;

    /** Whether a response has arrived. */
    private boolean kept;

    private boolean failed;

    private UnnamedResponses(Predicate<MultiMap> namesRequest) {
        this.namesRequest = namesRequest;
    }

    /**
     * Watches a client's connection that has just been opened.
     *
     * @param namesRequest Tells whether the headers of a response name the request that it answers.
     */
    public static void watch(HttpConnection connection, Predicate<MultiMap> namesRequest) {
        ChannelPipeline pipeline = ((ConnectionBase) connection).channel().pipeline();
        pipeline.addBefore(pipeline.lastContext().name(), null, new UnnamedResponses(namesRequest));
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (!failed && message instanceof HttpResponse response && isFinal(response)) {
            examine(context, response);
        }
        if (failed) {
            ReferenceCountUtil.release(message);
        } else {
            context.fireChannelRead(message);
        }
    }

    private void examine(ChannelHandlerContext context, HttpResponse response) {
        boolean first = !kept;
        kept = true;
        if (namesRequest.test(new HeadersAdaptor(response.headers()))) {
            return;
        }
        if (first) {
            ConnectionOption.closeAfter(response.headers());
            return;
        }
        failed = true;
        context.fireExceptionCaught(new UnnamedResponseException());
        context.close();
    }

    private static boolean isFinal(HttpResponse response) {
        return response.decoderResult().isSuccess() && response.status().codeClass() != HttpStatusClass.INFORMATIONAL;
    }

    /** A response on a kept connection names no request, so that it may be one to an earlier request. */
    private static final class UnnamedResponseException extends Exception {

        private static final long serialVersionUID = 1L;

        UnnamedResponseException() {
            super("response on a kept connection names no request", null, false, false);
        }
    }
}
