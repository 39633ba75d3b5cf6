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
 * Collects the counts of all emulators.
 *
 * <p>Used by one thread, which must not be an event loop, since it blocks.
 */
final class EmulatorCounts {

    private static final String COUNTS_PATH = "/counts";

    private final HttpClient client;

    private final NetworkAddress platform;

    /** The addresses of the configured backend servers by kind. */
    private final Map<BackendKind, List<NetworkAddress>> backends;

    /** The number of executions by call. */
    private final Map<String, Integer> executions = new HashMap<>();

    /** The Authorization headers that backend servers received. */
    private final List<String> credentials = new ArrayList<>();

    /** The usage by label, as counted by the engines. */
    private final Map<String, UsageFigures> counted = new TreeMap<>();

    /** The usage by label, as reported to the platform. */
    private final Map<String, UsageFigures> reported = new TreeMap<>();

    EmulatorCounts(Vertx vertx, NetworkAddress platform, Map<BackendKind, List<NetworkAddress>> backends) {
        this.client = vertx.createHttpClient();
        this.platform = platform;
        this.backends = backends;
    }

    /**
     * Replaces the counts by current ones.
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

    Map<String, Integer> executions() {
        return Map.copyOf(executions);
    }

    List<String> credentials() {
        return List.copyOf(credentials);
    }

    Map<String, UsageFigures> counted() {
        return new TreeMap<>(counted);
    }

    Map<String, UsageFigures> reported() {
        return new TreeMap<>(reported);
    }

    private <T> T get(NetworkAddress address, String path, Class<T> type)
            throws ExecutionException, InterruptedException {
        return client.request(HttpMethod.GET, address.port(), address.host(), path)
                .compose(request -> request.send().compose(HttpClientResponse::body))
                .compose(body -> parse(body, type))
                .toCompletionStage()
                .toCompletableFuture()
                .get();
    }

    private static <T> Future<T> parse(Buffer body, Class<T> type) {
        try {
            return Future.succeededFuture(JsonCodec.read(body.toString(), type));
        } catch (CranberrygaugeException exception) {
            return Future.failedFuture(exception);
        }
    }
}
