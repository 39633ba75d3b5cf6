package org.cranberrygauge.runtime.platform;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.List;
import java.util.concurrent.CompletionStage;
import org.cranberrygauge.model.backend.ListedBackendServer;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.model.error.ErrorCode;
import org.cranberrygauge.protocol.JsonCodec;
import org.cranberrygauge.protocol.platform.Platform;
import org.cranberrygauge.protocol.platform.PlatformLog;
import org.cranberrygauge.protocol.platform.PlatformMessages;

/**
 * Talks to the platform over HTTP.
 *
 * <p>Invariants: each call ends by its timeout; a call that failed may have taken effect. Safe for use by several threads.
 */
public final class HttpPlatform implements Platform, PlatformLog {

    /** The lowest HTTP status that is no success. */
    private static final int FIRST_FAILURE_STATUS = 300;

    /** The number of connections to the platform. */
    private static final int CONNECTIONS = 8;

    /** The HTTP client. */
    private final HttpClient client;

    /** The context of all calls: a response that is read from another thread may lose its end. */
    private final Context context;

    /** The address of the platform. */
    private final NetworkAddress address;

    /** The time after which a call is given up in milliseconds. */
    private final long timeoutMillis;

    /**
     * Creates a client.
     *
     * @param vertx The Vert.x instance.
     * @param address The address of the platform.
     * @param timeoutMillis The time after which a call is given up in milliseconds.
     */
    public HttpPlatform(Vertx vertx, NetworkAddress address, long timeoutMillis) {
        this.context = vertx.getOrCreateContext();
        this.client = vertx.createHttpClient(
                new HttpClientOptions().setConnectTimeout((int) timeoutMillis),
                new PoolOptions().setHttp1MaxSize(CONNECTIONS));
        this.address = address;
        this.timeoutMillis = timeoutMillis;
    }

    @Override
    public CompletionStage<Long> append(String payload) {
        return post(PlatformMessages.APPEND_PATH, new PlatformMessages.AppendRequest(payload))
                .compose(text -> parse(text, PlatformMessages.AppendAnswer.class))
                .map(PlatformMessages.AppendAnswer::offset)
                .toCompletionStage();
    }

    @Override
    public CompletionStage<Page> read(long afterOffset, int limit, long waitMillis) {
        String path = PlatformMessages.RECORDS_PATH + "?after=" + afterOffset + "&limit=" + limit + "&wait_millis="
                + waitMillis;
        return call(HttpMethod.GET, path, null, timeoutMillis + waitMillis)
                .compose(text -> parse(text, Page.class))
                .toCompletionStage();
    }

    @Override
    public CompletionStage<List<ListedBackendServer>> backendServers() {
        return call(HttpMethod.GET, PlatformMessages.BACKEND_SERVERS_PATH, null, timeoutMillis)
                .compose(text -> parse(text, PlatformMessages.BackendServerList.class))
                .map(PlatformMessages.BackendServerList::backendServers)
                .toCompletionStage();
    }

    @Override
    public CompletionStage<List<String>> entryHosts() {
        return call(HttpMethod.GET, PlatformMessages.ENTRY_HOSTS_PATH, null, timeoutMillis)
                .compose(text -> parse(text, PlatformMessages.EntryHostList.class))
                .map(PlatformMessages.EntryHostList::hosts)
                .toCompletionStage();
    }

    @Override
    public CompletionStage<OrderAnswer> order(Order order) {
        return post(PlatformMessages.ORDERS_PATH, order)
                .compose(text -> parse(text, OrderAnswer.class))
                .toCompletionStage();
    }

    @Override
    public CompletionStage<Void> reportUsage(UsageReport report) {
        return post(PlatformMessages.USAGE_PATH, report).<Void>mapEmpty().toCompletionStage();
    }

    /**
     * Posts a value.
     *
     * @param path The path.
     * @param body The value.
     * @return The answer's body.
     */
    private Future<String> post(String path, Object body) {
        return call(HttpMethod.POST, path, Buffer.buffer(JsonCodec.write(body)), timeoutMillis);
    }

    /**
     * Makes a call.
     *
     * @param method The method.
     * @param path The path with its query.
     * @param body The body, or null.
     * @param callTimeoutMillis The time after which the call is given up in milliseconds.
     * @return The answer's body.
     */
    private Future<String> call(HttpMethod method, String path, Buffer body, long callTimeoutMillis) {
        RequestOptions options = new RequestOptions()
                .setHost(address.host())
                .setPort(address.port())
                .setMethod(method)
                .setURI(path)
                .setTimeout(callTimeoutMillis)
                .setIdleTimeout(callTimeoutMillis);
        Promise<String> promise = Promise.promise();
        context.runOnContext(ignored -> Future.succeededFuture()
                .compose(started -> client.request(options))
                .compose(request -> send(request, body))
                .compose(HttpPlatform::body)
                .recover(failure -> Future.failedFuture(unavailable(path, failure)))
                .onComplete(promise));
        return promise.future();
    }

    /**
     * Sends a request.
     *
     * @param request The request.
     * @param body The body, or null.
     * @return The response.
     */
    private static Future<HttpClientResponse> send(HttpClientRequest request, Buffer body) {
        return body == null ? request.send() : request.send(body);
    }

    /**
     * Reads the body of a successful response.
     *
     * @param response The response.
     * @return The body.
     */
    private static Future<String> body(HttpClientResponse response) {
        return response.body().compose(buffer -> {
            if (response.statusCode() >= FIRST_FAILURE_STATUS) {
                return Future.failedFuture(new CranberrygaugeException(
                        ErrorCode.PLATFORM_UNAVAILABLE, "status " + response.statusCode() + ": " + buffer));
            }
            return Future.succeededFuture(buffer.toString());
        });
    }

    /**
     * Parses an answer.
     *
     * @param text The text.
     * @param type The type.
     * @param <T> The type.
     * @return The value.
     */
    private static <T> Future<T> parse(String text, Class<T> type) {
        try {
            return Future.succeededFuture(JsonCodec.read(text, type));
        } catch (CranberrygaugeException exception) {
            return Future.failedFuture(exception);
        }
    }

    /**
     * Builds the error of a failed call.
     *
     * @param path The path.
     * @param failure The failure.
     * @return The error.
     */
    private static Throwable unavailable(String path, Throwable failure) {
        if (failure instanceof CranberrygaugeException) {
            return failure;
        }
        return new CranberrygaugeException(ErrorCode.PLATFORM_UNAVAILABLE, path + ": " + failure.getMessage(), failure);
    }
}
