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
import org.cranberrygauge.runtime.blackboard.Blackboard;

/**
 * Serves the requests of callers.
 *
 * <p>Invariants: no request is admitted while the gateway must not admit any; a request with a key outside its
 * Authorization header is never forwarded. Safe for use by several threads.
 */
public final class CallerHandler implements Handler<HttpServerRequest> {

    /** The path prefix of plain services. */
    private static final String SERVICES_PREFIX = "/services";

    private static final Set<String> COMPLETION_PATHS = Set.of(ChatBody.CHAT_PATH, "/v1/completions");

    private static final String MODELS_PATH = "/v1/models";

    /** The request headers that are forwarded to plain services. */
    private static final List<String> FORWARDED_HEADERS = List.of("Content-Type", "Accept", "X-Call-Id");

    /** The customer that requests without a key are accounted to. */
    private static final Customer OPEN_CUSTOMER = new Customer("open", 1, List.of(), Set.of());

    /** The Retry-After delay sent while this gateway does not admit requests, in milliseconds. */
    private static final long NOT_ADMITTING_RETRY_MILLIS = 1_000;

    private final Vertx vertx;

    private final GatewaySettings settings;

    private final CallDependencies dependencies;

    private final Blackboard blackboard;

    private final AdmissionGate gate;

    private final Authenticator authenticator;

    private final BodyReader bodies;

    /** The number of requests received so far. */
    private final AtomicLong requestCount = new AtomicLong();

    public CallerHandler(
            Vertx vertx,
            GatewaySettings settings,
            CallDependencies dependencies,
            Blackboard blackboard,
            AdmissionGate gate) {
        this.vertx = vertx;
        this.settings = settings;
        this.bodies = new BodyReader(settings.bodyLimitBytes(), settings.bodyTimeoutMillis());
        this.dependencies = dependencies;
        this.blackboard = blackboard;
        this.gate = gate;
        this.authenticator = new Authenticator(blackboard);
    }

    @Override
    public void handle(HttpServerRequest request) {
        Context context = vertx.getOrCreateContext();
        long requestNumber = requestCount.incrementAndGet();
        CallerReply reply = new CallerReply(request, context, dependencies.gateway() + "." + requestNumber);
        bodies.read(context, request)
                .onSuccess(body -> dispatch(request, body, reply, requestNumber))
                .onFailure(failure -> {
                    reply.closeConnectionAfterResponse();
                    reject(reply, failure);
                });
    }

    /** Returns the number of requests whose bodies are being read. */
    public int reading() {
        return bodies.reading();
    }

    /** Rejects the requests whose bodies are being read, since this gateway has stopped. */
    public void endReading() {
        bodies.endAll();
    }

    /** Answers a request that is not valid HTTP, for example because its header is too large. */
    public void handleInvalid(HttpServerRequest request) {
        CallerReply reply = new CallerReply(
                request, vertx.getOrCreateContext(), dependencies.gateway() + "." + requestCount.incrementAndGet());
        Throwable cause = request.decoderResult().cause();
        boolean tooLarge = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
        reply.closeConnectionAfterResponse();
        reject(
                reply,
                tooLarge
                        ? new CranberrygaugeException(
                                ErrorCode.TOO_LARGE,
                                "the header is larger than " + settings.headerLimitBytes() + " bytes")
                        : new CranberrygaugeException(ErrorCode.INVALID_REQUEST, "the request is not valid HTTP"));
    }

    /** Dispatches a request by its method and path. */
    private void dispatch(HttpServerRequest request, Buffer body, CallerReply reply, long requestNumber) {
        try {
            gate.check();
            checkNoKeyOutsideHeader(request, body);
            String path = request.path() == null ? "" : request.path();
            if (request.method().equals(HttpMethod.POST) && COMPLETION_PATHS.contains(path)) {
                handleCompletion(request, body, reply, requestNumber);
            } else if (request.method().equals(HttpMethod.GET) && MODELS_PATH.equals(path)) {
                authenticator.customer(request);
                reply.answer(200, "application/json", models());
            } else if (path.startsWith(SERVICES_PREFIX + "/")) {
                handleServiceCall(request, body, reply, requestNumber);
            } else {
                throw new CranberrygaugeException(ErrorCode.NOT_FOUND, "no such path");
            }
        } catch (CranberrygaugeException exception) {
            reject(reply, exception);
        }
    }

    private void handleCompletion(HttpServerRequest request, Buffer body, CallerReply reply, long requestNumber)
            throws CranberrygaugeException {
        Caller caller = authenticator.caller(request);
        ChatBody chat = ChatBody.read(request.path(), body);
        String key = Authenticator.key(request).orElse("");
        if (chat.canonical().contains(key)) {
            throw new CranberrygaugeException(
                    ErrorCode.INVALID_REQUEST, "the key must be sent in the Authorization header only");
        }
        if (!blackboard.configuration().models().contains(chat.model())) {
            throw new CranberrygaugeException(ErrorCode.NOT_FOUND, "no such model");
        }
        new ChatCall(dependencies, caller, chat, reply, requestNumber).begin();
    }

    private void handleServiceCall(HttpServerRequest request, Buffer body, CallerReply reply, long requestNumber)
            throws CranberrygaugeException {
        String path = request.path().substring(SERVICES_PREFIX.length());
        ServiceRoute route = route(request.method().name(), path);
        String idempotencyKey = request.getHeader("Idempotency-Key");
        if (route.repetition() == Repetition.AT_MOST_ONCE && route.keyRequired() && idempotencyKey == null) {
            throw new CranberrygaugeException(ErrorCode.KEY_REQUIRED, "this route requires an Idempotency-Key header");
        }
        Map<String, String> headers = new HashMap<>();
        for (String name : FORWARDED_HEADERS) {
            if (request.getHeader(name) != null) {
                headers.put(name, request.getHeader(name));
            }
        }
        String uri = request.query() == null ? path : path + "?" + request.query();
        ServiceRequest call = new ServiceRequest(route, request.method().name(), uri, headers, body, idempotencyKey);
        new ServiceCall(dependencies, serviceCaller(request, route), call, reply, requestNumber).begin();
    }

    /**
     * Returns the caller of a call to a plain service.
     *
     * @throws CranberrygaugeException If the key is not valid or does not allow the class of the route.
     */
    private Caller serviceCaller(HttpServerRequest request, ServiceRoute route) throws CranberrygaugeException {
        Configuration configuration = blackboard.configuration();
        ServiceClass serviceClass = configuration
                .serviceClass(route.className())
                .orElseThrow(() -> new CranberrygaugeException(
                        ErrorCode.INTERNAL, "the class of the route is no longer configured"));
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

    /** Returns the route with the longest matching prefix. */
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

    /** Rejects a request that contains its key where it would be forwarded to a backend server. */
    private static void checkNoKeyOutsideHeader(HttpServerRequest request, Buffer body) throws CranberrygaugeException {
        Optional<String> key = Authenticator.key(request).filter(text -> !text.isEmpty());
        if (key.isEmpty()) {
            return;
        }
        if (containsKey(request.uri(), key.get()) || body.toString().contains(key.get())) {
            throw new CranberrygaugeException(
                    ErrorCode.INVALID_REQUEST, "the key must be sent in the Authorization header only");
        }
    }

    /** Returns whether a URI contains a key, either literally or percent-encoded. */
    private static boolean containsKey(String uri, String key) throws CranberrygaugeException {
        try {
            return uri.contains(key)
                    || URLDecoder.decode(uri, StandardCharsets.UTF_8).contains(key);
        } catch (IllegalArgumentException exception) {
            throw new CranberrygaugeException(ErrorCode.INVALID_REQUEST, "the path cannot be decoded", exception);
        }
    }

    private Buffer models() {
        JsonArray data = new JsonArray();
        for (String model : blackboard.configuration().models()) {
            data.add(new JsonObject().put("id", model).put("object", "model").put("owned_by", "cranberrygauge"));
        }
        return new JsonObject().put("object", "list").put("data", data).toBuffer();
    }

    private void reject(CallerReply reply, Throwable failure) {
        ErrorCode code = failure instanceof CranberrygaugeException known ? known.code() : ErrorCode.INTERNAL;
        long retryAfterMillis = code == ErrorCode.NOT_ADMITTING ? NOT_ADMITTING_RETRY_MILLIS : 0;
        dependencies.metrics().refused("", code.text());
        dependencies
                .events()
                .emit(new GatewayEvents.RequestRefused(reply.requestId(), "", "", code.text(), true, retryAfterMillis));
        reply.fail(RequestFailure.notRun(code, String.valueOf(failure.getMessage()))
                .withRetryAfter(retryAfterMillis));
    }
}
