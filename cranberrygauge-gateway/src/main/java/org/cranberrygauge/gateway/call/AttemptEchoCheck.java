package org.cranberrygauge.gateway.call;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;
import java.util.List;

/**
 * Tells on one connection to a backend server which responses answer the attempt that was sent last.
 *
 * <p>A response that names no attempt may be a copy of an earlier one, unless it is the first on its connection. One that
 * answers another attempt is marked with {@link #OTHER_ATTEMPT}.
 *
 * <p>Invariants: a connection is not used again after a response that names no attempt or another one. It is marked for
 * its end before the pool sees the response, so that no later request can have taken it. Used by the event loop of its
 * connection.
 */
final class AttemptEchoCheck extends ChannelDuplexHandler {

    /** The name of an attempt that is none. */
    private static final String OTHER_ATTEMPT = "";

    /** The name of the Vert.x handler in the channel pipeline, after which the pool sees a response. */
    private static final String VERTX_HANDLER = "handler";

    private String attempt = OTHER_ATTEMPT;

    /** Whether a response has begun on this connection. */
    private boolean answered;

    private AttemptEchoCheck() {}

    /** Checks the responses on a connection that has just been opened. */
    static void install(HttpConnection connection) {
        ChannelPipeline pipeline = ((ConnectionBase) connection).channel().pipeline();
        pipeline.addBefore(VERTX_HANDLER, AttemptEchoCheck.class.getSimpleName(), new AttemptEchoCheck());
    }

    /** Returns whether a checked response answers an attempt. */
    static boolean answers(String echoed, String attempt) {
        return echoed == null || echoed.equals(attempt);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise written) {
        if (message instanceof HttpRequest request) {
            attempt = String.valueOf(request.headers().get(BackendClient.ATTEMPT_HEADER));
        }
        context.write(message, written);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof HttpResponse response
                && response.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
            check(response);
        }
        context.fireChannelRead(message);
    }

    private void check(HttpResponse response) {
        List<String> named = response.headers().getAll(BackendClient.ATTEMPT_HEADER);
        boolean answersAttempt = named.isEmpty() ? !answered : named.stream().allMatch(attempt::equals);
        answered = true;
        if (!answersAttempt) {
            response.headers().set(BackendClient.ATTEMPT_HEADER, OTHER_ATTEMPT);
        }
        if (named.isEmpty() || !answersAttempt) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }
}
