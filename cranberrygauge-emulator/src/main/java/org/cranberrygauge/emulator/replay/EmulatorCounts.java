package org.cranberrygauge.emulator.replay;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import org.cranberrygauge.emulator.engine.EngineCounts;
import org.cranberrygauge.emulator.service.EmulatedService;
import org.cranberrygauge.model.backend.BackendKind;
import org.cranberrygauge.model.backend.ListedBackendServer;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.model.record.UsageFigures;
import org.cranberrygauge.protocol.JsonCodec;
import org.cranberrygauge.protocol.platform.Platform.UsageReport;
import org.cranberrygauge.protocol.platform.PlatformMessages;

/**
 * Collects what the stand-ins counted.
 *
 * <p>Used by one thread, which must not be an event loop.
 */
final class EmulatorCounts {

    /** The path of the counts of engines and plain services. */
    private static final String COUNTS_PATH = "/counts";

    /** The HTTP client. */
    private final HttpClient client;

    /** The address of the platform. */
    private final NetworkAddress platform;

    /** The addresses of the configured backend servers by kind. */
    private final Map<BackendKind, List<NetworkAddress>> backends;

    /** The executions by call. */
    private final Map<String, Integer> executions = new HashMap<>();

    /** The credentials that backend servers saw. */
    private final List<String> credentials = new ArrayList<>();

    /** The usage by label as the engines counted it. */
    private final Map<String, UsageFigures> counted = new TreeMap<>();

    /** The usage by label as it was reported to the platform. */
    private final Map<String, UsageFigures> reported = new TreeMap<>();

    /**
     * Creates a collector.
     *
     * @param vertx The Vert.x instance.
     * @param platform The address of the platform.
     * @param backends The addresses of the configured backend servers by kind.
     */
    EmulatorCounts(Vertx vertx, NetworkAddress platform, Map<BackendKind, List<NetworkAddress>> backends) {
        this.client = vertx.createHttpClient();
        this.platform = platform;
        this.backends = backends;
    }

    /**
     * Collects all counts anew.
     *
     * @throws ExecutionException If a count can't be read.
     * @throws InterruptedException If this thread is interrupted.
     */
    void collect() throws ExecutionException, InterruptedException {
        executions.clear();
        credentials.clear();
        counted.clear();
        reported.clear();
        List<NetworkAddress> engines = new ArrayList<>(backends.get(BackendKind.MODEL));
        PlatformMessages.BackendServerList listed =
                get(platform, PlatformMessages.BACKEND_SERVERS_PATH, PlatformMessages.BackendServerList.class);
        for (ListedBackendServer ordered : listed.backendServers()) {
            engines.add(ordered.server().address());
        }
        for (NetworkAddress engine : engines) {
            EngineCounts counts = get(engine, COUNTS_PATH, EngineCounts.class);
            counts.usage().forEach((label, figures) -> counted.merge(label, figures, UsageFigures::plus));
            credentials.addAll(counts.credentials());
        }
        for (NetworkAddress service : backends.get(BackendKind.SERVICE)) {
            EmulatedService.Counts counts = get(service, COUNTS_PATH, EmulatedService.Counts.class);
            counts.executions().forEach((call, number) -> executions.merge(call, number, Integer::sum));
            credentials.addAll(counts.credentials());
        }
        for (UsageReport report : get(platform, PlatformMessages.USAGE_PATH, UsageReport[].class)) {
            report.figures().forEach((key, figures) -> {
                if (figures.outputTokens() > 0) {
                    reported.merge(key.toString(), figures, UsageFigures::plus);
                }
            });
        }
    }

    /**
     * Returns the executions by call.
     *
     * @return The executions.
     */
    Map<String, Integer> executions() {
        return Map.copyOf(executions);
    }

    /**
     * Returns the credentials that backend servers saw.
     *
     * @return The credentials.
     */
    List<String> credentials() {
        return List.copyOf(credentials);
    }

    /**
     * Returns the usage as the engines counted it.
     *
     * @return The usage by label.
     */
    Map<String, UsageFigures> counted() {
        return new TreeMap<>(counted);
    }

    /**
     * Returns the usage as it was reported to the platform.
     *
     * @return The usage by label.
     */
    Map<String, UsageFigures> reported() {
        return new TreeMap<>(reported);
    }

    /**
     * Reads a value over HTTP.
     *
     * @param address The address.
     * @param path The path.
     * @param type The type.
     * @param <T> The type.
     * @return The value.
     * @throws ExecutionException If it can't be read.
     * @throws InterruptedException If this thread is interrupted.
     */
    private <T> T get(NetworkAddress address, String path, Class<T> type)
            throws ExecutionException, InterruptedException {
        return client.request(HttpMethod.GET, address.port(), address.host(), path)
                .compose(request -> request.send().compose(HttpClientResponse::body))
                .compose(body -> parse(body, type))
                .toCompletionStage()
                .toCompletableFuture()
                .get();
    }

    /**
     * Parses a body.
     *
     * @param body The body.
     * @param type The type.
     * @param <T> The type.
     * @return The value.
     */
    private static <T> Future<T> parse(Buffer body, Class<T> type) {
        try {
            return Future.succeededFuture(JsonCodec.read(body.toString(), type));
        } catch (CranberrygaugeException exception) {
            return Future.failedFuture(exception);
        }
    }
}
