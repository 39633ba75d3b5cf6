package org.cranberrygauge.runtime.platform;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
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
import org.cranberrygauge.runtime.event.EventLog;
import org.cranberrygauge.runtime.http.KeptHttpClient;
import org.cranberrygauge.runtime.http.ResponseBody;

/**
 * An HTTP client of the platform.
 *
 * <p>Invariants: each call completes within its timeout; a failed call may have taken effect. Safe for use by several
 * threads.
 */
public final class HttpPlatform implements Platform, PlatformLog {

    /** The lowest HTTP status that is treated as a failure. */
    private static final int FIRST_FAILURE_STATUS = 300;

    /** The largest number of connections to the platform. */
    private static final int MAX_CONNECTIONS = 8;

    /** The maximum size of the body of a response. */
    private static final int MAX_RESPONSE_BYTES = 32 << 20;

    private final KeptHttpClient client;

    /** The context of all calls. If a response is consumed on another thread, its end event can be missed. */
    private final Context context;

    private final NetworkAddress address;

    private final long timeoutMillis;

    /**
     * Creates a client.
     *
     * @param timeoutMillis The timeout of a call in milliseconds.
     */
    public HttpPlatform(Vertx vertx, NetworkAddress address, long timeoutMillis) {
        this.context = vertx.getOrCreateContext();
        this.client = new KeptHttpClient(
                vertx,
                new HttpClientOptions().setConnectTimeout((int) timeoutMillis),
                new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS),
                EventLog.Tinylog.INSTANCE);
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

    private Future<String> post(String path, Object body) {
        return call(HttpMethod.POST, path, Buffer.buffer(JsonCodec.write(body)), timeoutMillis);
    }

    /**
     * Calls the platform and returns the body of the response.
     *
     * @param body The body, or null.
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

    private static Future<HttpClientResponse> send(HttpClientRequest request, Buffer body) {
        return body == null ? request.send() : request.send(body);
    }

    private static Future<String> body(HttpClientResponse response) {
        return ResponseBody.read(response, MAX_RESPONSE_BYTES).compose(buffer -> {
            if (response.statusCode() >= FIRST_FAILURE_STATUS) {
                return Future.failedFuture(new CranberrygaugeException(
                        ErrorCode.PLATFORM_UNAVAILABLE, "status " + response.statusCode() + ": " + buffer));
            }
            return Future.succeededFuture(buffer.toString());
        });
    }

    private static <T> Future<T> parse(String text, Class<T> type) {
        try {
            return Future.succeededFuture(JsonCodec.read(text, type));
        } catch (CranberrygaugeException exception) {
            return Future.failedFuture(exception);
        }
    }

    private static Throwable unavailable(String path, Throwable failure) {
        if (failure instanceof CranberrygaugeException) {
            return failure;
        }
        return new CranberrygaugeException(ErrorCode.PLATFORM_UNAVAILABLE, path + ": " + failure.getMessage(), failure);
    }
}
