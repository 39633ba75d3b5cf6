package org.cranberrygauge.gateway.http;

import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.vertx.core.Context;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.cranberrygauge.gateway.GatewayEvents;
import org.cranberrygauge.gateway.GatewaySettings;
import org.cranberrygauge.gateway.call.CallDependencies;
import org.cranberrygauge.gateway.call.Caller;
import org.cranberrygauge.gateway.call.CallerReply;
import org.cranberrygauge.gateway.call.ChatBody;
import org.cranberrygauge.gateway.call.ChatCall;
import org.cranberrygauge.gateway.call.RequestFailure;
import org.cranberrygauge.gateway.call.ServiceCall;
import org.cranberrygauge.gateway.call.ServiceRequest;
import org.cranberrygauge.model.configuration.Configuration;
import org.cranberrygauge.model.customer.Customer;
import org.cranberrygauge.model.customer.KeyDigest;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.model.error.ErrorCode;
import org.cranberrygauge.model.service.Repetition;
import org.cranberrygauge.model.service.ServiceClass;
import org.cranberrygauge.model.service.ServiceRoute;
import org.cranberrygauge.runtime.state.ProcessState;

/**
 * Takes the requests of callers.
 *
 * <p>Invariants: no request is admitted while the gateway may not admit; no request that carries a key outside its header
 * is passed on. Safe for use by several threads.
 */
public final class CallerHandler implements Handler<HttpServerRequest> {

    /** The start of the paths of plain services. */
    private static final String SERVICES_PREFIX = "/services";

    /** The paths of completions. */
    private static final Set<String> COMPLETION_PATHS = Set.of(ChatBody.CHAT_PATH, "/v1/completions");

    /** The path of the list of models. */
    private static final String MODELS_PATH = "/v1/models";

    /** The headers of calls to plain services that are passed on. */
    private static final List<String> PASSED_HEADERS = List.of("Content-Type", "Accept", "X-Call-Id");

    /** The customer of callers on routes open to all. */
    private static final Customer OPEN_CUSTOMER = new Customer("open", 1, List.of(), Set.of());

    /** The time after which a caller may try again while this gateway does not admit in milliseconds. */
    private static final long NOT_ADMITTING_RETRY_MILLIS = 1_000;

    /** The Vert.x instance. */
    private final Vertx vertx;

    /** The settings. */
    private final GatewaySettings settings;

    /** What every request works with. */
    private final CallDependencies tools;

    /** The blackboard. */
    private final ProcessState blackboard;

    /** Tells whether the gateway admits. */
    private final AdmissionGate gate;

    /** Finds out whose request it is. */
    private final Authenticator authenticator;

    /** The connections of callers. */
    private final IdleConnections connections;

    /** The number of requests taken. */
    private final AtomicLong numbers = new AtomicLong();

    /**
     * Creates a handler.
     *
     * @param vertx The Vert.x instance.
     * @param settings The settings.
     * @param tools What every request works with.
     * @param blackboard The blackboard.
     * @param gate Tells whether the gateway admits.
     * @param connections The connections of callers.
     */
    public CallerHandler(
            Vertx vertx,
            GatewaySettings settings,
            CallDependencies tools,
            ProcessState blackboard,
            AdmissionGate gate,
            IdleConnections connections) {
        this.connections = connections;
        this.vertx = vertx;
        this.settings = settings;
        this.tools = tools;
        this.blackboard = blackboard;
        this.gate = gate;
        this.authenticator = new Authenticator(blackboard);
    }

    @Override
    public void handle(HttpServerRequest request) {
        connections.began(request);
        Context context = vertx.getOrCreateContext();
        long number = numbers.incrementAndGet();
        CallerReply reply = new CallerReply(request, context, tools.gateway() + "." + number);
        BodyReader.read(vertx, request, settings.bodyLimitBytes(), settings.bodyTimeoutMillis())
                .onSuccess(body -> take(request, body, reply, number))
                .onFailure(failure -> {
                    reply.closeConnectionAfterwards();
                    refuse(reply, failure);
                });
    }

    /**
     * Answers a request that is no valid HTTP, such as one whose header is larger than allowed.
     *
     * @param request The request.
     */
    public void handleInvalid(HttpServerRequest request) {
        CallerReply reply =
                new CallerReply(request, vertx.getOrCreateContext(), tools.gateway() + "." + numbers.incrementAndGet());
        Throwable cause = request.decoderResult().cause();
        boolean tooLarge = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
        reply.closeConnectionAfterwards();
        refuse(
                reply,
                tooLarge
                        ? new CranberrygaugeException(
                                ErrorCode.TOO_LARGE,
                                "the header is larger than " + settings.headerLimitBytes() + " bytes")
                        : new CranberrygaugeException(ErrorCode.INVALID_REQUEST, "the request is no valid HTTP"));
    }

    /**
     * Takes a request with its body.
     *
     * @param request The request.
     * @param body The body.
     * @param reply The answer to the caller.
     * @param number The number of the request in this gateway.
     */
    private void take(HttpServerRequest request, Buffer body, CallerReply reply, long number) {
        try {
            gate.check();
            checkNoKeyOutsideHeader(request, body);
            String path = request.path() == null ? "" : request.path();
            if (request.method().equals(HttpMethod.POST) && COMPLETION_PATHS.contains(path)) {
                takeCompletion(request, body, reply, number);
            } else if (request.method().equals(HttpMethod.GET) && MODELS_PATH.equals(path)) {
                authenticator.customer(request);
                reply.answer(200, "application/json", models());
            } else if (path.startsWith(SERVICES_PREFIX + "/")) {
                takeServiceCall(request, body, reply, number);
            } else {
                throw new CranberrygaugeException(ErrorCode.NOT_FOUND, "no such path");
            }
        } catch (CranberrygaugeException exception) {
            refuse(reply, exception);
        }
    }

    /**
     * Takes a completion.
     *
     * @param request The request.
     * @param body The body.
     * @param reply The answer to the caller.
     * @param number The number of the request in this gateway.
     * @throws CranberrygaugeException If it is refused.
     */
    private void takeCompletion(HttpServerRequest request, Buffer body, CallerReply reply, long number)
            throws CranberrygaugeException {
        Caller caller = authenticator.caller(request);
        ChatBody chat = ChatBody.read(request.path(), body);
        String key = Authenticator.key(request).orElse("");
        if (chat.canonical().contains(key)) {
            throw new CranberrygaugeException(
                    ErrorCode.INVALID_REQUEST, "the key must stand in the Authorization header only");
        }
        if (!blackboard.configuration().models().contains(chat.model())) {
            throw new CranberrygaugeException(ErrorCode.NOT_FOUND, "no such model");
        }
        new ChatCall(tools, caller, chat, reply, number).begin();
    }

    /**
     * Takes a call to a plain service.
     *
     * @param request The request.
     * @param body The body.
     * @param reply The answer to the caller.
     * @param number The number of the request in this gateway.
     * @throws CranberrygaugeException If it is refused.
     */
    private void takeServiceCall(HttpServerRequest request, Buffer body, CallerReply reply, long number)
            throws CranberrygaugeException {
        String path = request.path().substring(SERVICES_PREFIX.length());
        ServiceRoute route = route(request.method().name(), path);
        String idempotencyKey = request.getHeader("Idempotency-Key");
        if (route.repetition() == Repetition.AT_MOST_ONCE && route.keyRequired() && idempotencyKey == null) {
            throw new CranberrygaugeException(ErrorCode.KEY_REQUIRED, "this route demands an Idempotency-Key header");
        }
        Map<String, String> headers = new HashMap<>();
        for (String name : PASSED_HEADERS) {
            if (request.getHeader(name) != null) {
                headers.put(name, request.getHeader(name));
            }
        }
        String uri = request.query() == null ? path : path + "?" + request.query();
        ServiceRequest call = new ServiceRequest(route, request.method().name(), uri, headers, body, idempotencyKey);
        new ServiceCall(tools, serviceCaller(request, route), call, reply, number).begin();
    }

    /**
     * Finds the caller of a call to a plain service.
     *
     * @param request The request.
     * @param route The route.
     * @return The caller.
     * @throws CranberrygaugeException If the key or the class does not allow the call.
     */
    private Caller serviceCaller(HttpServerRequest request, ServiceRoute route) throws CranberrygaugeException {
        Configuration configuration = blackboard.configuration();
        ServiceClass serviceClass = configuration
                .serviceClass(route.className())
                .orElseThrow(() -> new CranberrygaugeException(ErrorCode.INTERNAL, "the class of the route is gone"));
        if (route.open() && Authenticator.key(request).isEmpty()) {
            return new Caller(OPEN_CUSTOMER, null, serviceClass);
        }
        Customer customer = authenticator.customer(request);
        if (!customer.classes().contains(serviceClass.name())) {
            throw new CranberrygaugeException(
                    ErrorCode.FORBIDDEN, "the customer may not use class " + serviceClass.name());
        }
        return new Caller(customer, KeyDigest.of(Authenticator.key(request).orElseThrow()), serviceClass);
    }

    /**
     * Finds the route with the longest prefix.
     *
     * @param method The method.
     * @param path The path below the services.
     * @return The route.
     * @throws CranberrygaugeException If there is none.
     */
    private ServiceRoute route(String method, String path) throws CranberrygaugeException {
        ServiceRoute best = null;
        for (ServiceRoute route : blackboard.configuration().routes()) {
            boolean matches = route.method().equals(method)
                    && (path.equals(route.pathPrefix()) || path.startsWith(route.pathPrefix() + "/"));
            if (matches
                    && (best == null
                            || route.pathPrefix().length() > best.pathPrefix().length())) {
                best = route;
            }
        }
        if (best == null) {
            throw new CranberrygaugeException(ErrorCode.NOT_FOUND, "no such route");
        }
        return best;
    }

    /**
     * Refuses a request that carries its key where it would reach a backend server.
     *
     * @param request The request.
     * @param body The body.
     * @throws CranberrygaugeException If the key stands outside its header.
     */
    private static void checkNoKeyOutsideHeader(HttpServerRequest request, Buffer body) throws CranberrygaugeException {
        Optional<String> key = Authenticator.key(request).filter(text -> !text.isEmpty());
        if (key.isEmpty()) {
            return;
        }
        if (carries(request.uri(), key.get()) || body.toString().contains(key.get())) {
            throw new CranberrygaugeException(
                    ErrorCode.INVALID_REQUEST, "the key must stand in the Authorization header only");
        }
    }

    /**
     * Tells whether a URI carries a key, as it stands or percent-encoded.
     *
     * @param uri The URI.
     * @param key The key.
     * @return Whether it does.
     * @throws CranberrygaugeException If the URI can't be decoded.
     */
    private static boolean carries(String uri, String key) throws CranberrygaugeException {
        try {
            return uri.contains(key)
                    || URLDecoder.decode(uri, StandardCharsets.UTF_8).contains(key);
        } catch (IllegalArgumentException exception) {
            throw new CranberrygaugeException(ErrorCode.INVALID_REQUEST, "the path can't be decoded", exception);
        }
    }

    /**
     * Builds the list of models.
     *
     * @return The list.
     */
    private Buffer models() {
        JsonArray data = new JsonArray();
        for (String model : blackboard.configuration().models()) {
            data.add(new JsonObject().put("id", model).put("object", "model").put("owned_by", "cranberrygauge"));
        }
        return new JsonObject().put("object", "list").put("data", data).toBuffer();
    }

    /**
     * Refuses a request that was not run.
     *
     * @param reply The answer to the caller.
     * @param failure The failure.
     */
    private void refuse(CallerReply reply, Throwable failure) {
        ErrorCode code = failure instanceof CranberrygaugeException known ? known.code() : ErrorCode.INTERNAL;
        long retryAfterMillis = code == ErrorCode.NOT_ADMITTING ? NOT_ADMITTING_RETRY_MILLIS : 0;
        tools.metrics().refused("", code.text());
        tools.events()
                .emit(new GatewayEvents.RequestRefused(reply.requestId(), "", "", code.text(), true, retryAfterMillis));
        reply.fail(RequestFailure.notRun(code, String.valueOf(failure.getMessage()))
                .withRetryAfter(retryAfterMillis));
    }
}
