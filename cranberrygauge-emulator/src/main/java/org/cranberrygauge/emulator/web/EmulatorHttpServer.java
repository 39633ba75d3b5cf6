package org.cranberrygauge.emulator.web;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.protocol.JsonCodec;

/**
 * The HTTP server of one stand-in.
 *
 * <p>Runs on one event loop, so that the stand-ins need no locks.
 */
public final class EmulatorHttpServer {

    /** The status of a successful answer. */
    private static final int OK = 200;

    /** The status of an answer to a body that can't be read. */
    private static final int BAD_REQUEST = 400;

    /** The largest body in bytes. */
    private static final long BODY_LIMIT_BYTES = 16L * 1024 * 1024;

    /** Prevents instances. */
    private EmulatorHttpServer() {}

    /**
     * Creates a router that reads bodies.
     *
     * @param vertx The Vert.x instance.
     * @return The router.
     */
    public static Router router(Vertx vertx) {
        Router router = Router.router(vertx);
        router.route().handler(BodyHandler.create(false).setBodyLimit(BODY_LIMIT_BYTES));
        return router;
    }

    /**
     * Starts a server.
     *
     * @param vertx The Vert.x instance.
     * @param router The router.
     * @param address The address; port 0 takes any free one.
     * @return The server.
     */
    public static Future<HttpServer> listen(Vertx vertx, Router router, NetworkAddress address) {
        return vertx.createHttpServer(
                        new HttpServerOptions().setHost(address.host()).setPort(address.port()))
                .requestHandler(router)
                .listen();
    }

    /**
     * Answers with a value as JSON.
     *
     * @param context The exchange.
     * @param value The value.
     */
    public static void answer(RoutingContext context, Object value) {
        answer(context, OK, value);
    }

    /**
     * Answers with a status and a value as JSON.
     *
     * @param context The exchange.
     * @param status The status.
     * @param value The value.
     */
    public static void answer(RoutingContext context, int status, Object value) {
        if (context.response().ended() || context.response().closed()) {
            return;
        }
        context.response()
                .setStatusCode(status)
                .putHeader("Content-Type", "application/json")
                .end(Buffer.buffer(JsonCodec.write(value)));
    }

    /**
     * Reads the body as a value, or answers that it can't be read.
     *
     * @param context The exchange.
     * @param type The type.
     * @param <T> The type.
     * @return The value, or null after the answer was sent.
     */
    public static <T> T body(RoutingContext context, Class<T> type) {
        try {
            return JsonCodec.read(String.valueOf(context.body().asString()), type);
        } catch (CranberrygaugeException exception) {
            answer(context, BAD_REQUEST, new MessageBody(exception.getMessage()));
            return null;
        }
    }

    /**
     * Drops the connection of an exchange without an answer.
     *
     * @param context The exchange.
     */
    public static void drop(RoutingContext context) {
        context.request().connection().close();
    }

    /**
     * The body of an answer that tells what is wrong.
     *
     * @param message The message.
     */
    public record MessageBody(String message) {}
}
