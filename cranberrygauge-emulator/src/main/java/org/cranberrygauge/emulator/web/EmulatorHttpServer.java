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
 * HTTP functions shared by the emulators.
 *
 * <p>Each server runs on one event loop, so that emulators need no locks.
 */
public final class EmulatorHttpServer {

    private static final int OK = 200;

    private static final int BAD_REQUEST = 400;

    private static final long BODY_LIMIT_BYTES = 16L * 1024 * 1024;

    private EmulatorHttpServer() {}

    /** Creates a router that reads request bodies. */
    public static Router router(Vertx vertx) {
        Router router = Router.router(vertx);
        router.route().handler(BodyHandler.create(false).setBodyLimit(BODY_LIMIT_BYTES));
        return router;
    }

    /**
     * Starts a server.
     *
     * @param address The address; port 0 takes any free one.
     */
    public static Future<HttpServer> listen(Vertx vertx, Router router, NetworkAddress address) {
        return vertx.createHttpServer(
                        new HttpServerOptions().setHost(address.host()).setPort(address.port()))
                .requestHandler(router)
                .listen();
    }

    /** Responds with a value as JSON. */
    public static void respond(RoutingContext context, Object value) {
        respond(context, OK, value);
    }

    /**
     * Responds with a status and a value as JSON; does nothing if the response has ended or the connection is closed.
     */
    public static void respond(RoutingContext context, int status, Object value) {
        if (context.response().ended() || context.response().closed()) {
            return;
        }
        context.response()
                .setStatusCode(status)
                .putHeader("Content-Type", "application/json")
                .end(Buffer.buffer(JsonCodec.write(value)));
    }

    /**
     * Reads the body as a value, or responds with status 400 if it is invalid.
     *
     * @return The value, or null if a response has been sent.
     */
    public static <T> T readBody(RoutingContext context, Class<T> type) {
        try {
            return JsonCodec.read(String.valueOf(context.body().asString()), type);
        } catch (CranberrygaugeException exception) {
            respond(context, BAD_REQUEST, new MessageBody(exception.getMessage()));
            return null;
        }
    }

    /** Closes the connection of a request without a response. */
    public static void dropConnection(RoutingContext context) {
        context.request().connection().close();
    }

    /** The body of a response that consists of a message. */
    public record MessageBody(String message) {}
}
