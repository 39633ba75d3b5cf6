package org.cranberrygauge.emulator.replay;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import org.cranberrygauge.model.backend.BackendKind;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.model.configuration.Configuration;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.protocol.JsonCodec;
import org.cranberrygauge.runtime.setting.AddressConverter;
import org.cranberrygauge.runtime.setting.SettingsParser;

/**
 * Replays a trace through the gateways and prints a report.
 *
 * <p>Filled in by the settings parser before any thread starts, and only read afterwards.
 */
@Parameters(commandDescription = "Replays a trace through the gateways and prints a report")
public final class ReplayCommand {

    /** Interval at which usage reports are checked until they match the engines' counts. */
    private static final long SETTLE_POLL_INTERVAL_MILLIS = 500;

    @Parameter(names = "--trace", required = true, description = "File with one request per line, as JSON")
    private Path trace;

    @Parameter(names = "--configuration", required = true, description = "File with the configuration in force")
    private Path configurationFile;

    @Parameter(names = "--keys", required = true, description = "File with the key of each customer, as JSON")
    private Path keysFile;

    @Parameter(
            names = "--gateways",
            required = true,
            converter = AddressConverter.class,
            description = "HOST:PORT of each gateway, separated by commas")
    private List<NetworkAddress> gateways = new ArrayList<>();

    @Parameter(
            names = "--platform-address",
            required = true,
            converter = AddressConverter.class,
            description = "HOST:PORT of the emulated platform")
    private NetworkAddress platformAddress;

    @Parameter(
            names = "--tries",
            description = "Maximum number of times that a request is sent while it is refused as not run")
    private int tries = 5;

    @Parameter(names = "--settle-millis", description = "Milliseconds to wait for the last usage report")
    private long settleMillis = 15_000;

    /**
     * Runs the replay.
     *
     * @return The exit status: 0 if all expectations hold, 1 if one does not, 2 if a file can't be read.
     */
    public int run() {
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1));
        try {
            Configuration configuration = JsonCodec.read(Files.readString(configurationFile), Configuration.class);
            Map<String, String> keys = new LinkedHashMap<>();
            JsonCodec.read(Files.readString(keysFile), Map.class)
                    .forEach((customer, key) -> keys.put(String.valueOf(customer), String.valueOf(key)));
            List<TraceRequest> requests = new ArrayList<>();
            for (String line : Files.readAllLines(trace)) {
                requests.add(JsonCodec.read(line, TraceRequest.class));
            }
            ReplayReport report = replay(vertx, configuration, keys, requests);
            System.out.print(report.text());
            report.failures().forEach(failure -> System.out.println("FAILED: " + failure));
            return report.failures().isEmpty() ? 0 : 1;
        } catch (IOException | CranberrygaugeException exception) {
            System.err.println("replay: " + exception.getMessage());
            return SettingsParser.EXIT_STATUS;
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            return 1;
        } catch (ExecutionException exception) {
            System.err.println("replay: " + exception.getCause());
            return 1;
        } finally {
            vertx.close();
        }
    }

    /** Sends all requests, and collects the counts until reported usage matches or the settling time has passed. */
    private ReplayReport replay(
            Vertx vertx, Configuration configuration, Map<String, String> keys, List<TraceRequest> requests)
            throws ExecutionException, InterruptedException {
        TraceClient client = new TraceClient(vertx, gateways, keys, tries);
        List<Future<ReplayOutcome>> pending = requests.stream()
                .map(request -> sendAtArrival(vertx, client, request))
                .toList();
        List<ReplayOutcome> outcomes = Future.all(pending)
                .map(all -> all.<ReplayOutcome>list())
                .toCompletionStage()
                .toCompletableFuture()
                .get();
        EmulatorCounts counts = new EmulatorCounts(vertx, platformAddress, backends(configuration));
        long untilMillis = System.currentTimeMillis() + settleMillis;
        ReplayReport report = report(configuration, keys, outcomes, counts);
        while (!report.counted().equals(report.reported()) && System.currentTimeMillis() < untilMillis) {
            Thread.sleep(SETTLE_POLL_INTERVAL_MILLIS);
            report = report(configuration, keys, outcomes, counts);
        }
        return report;
    }

    private static ReplayReport report(
            Configuration configuration, Map<String, String> keys, List<ReplayOutcome> outcomes, EmulatorCounts counts)
            throws ExecutionException, InterruptedException {
        counts.collect();
        return new ReplayReport(
                configuration,
                outcomes,
                counts.executions(),
                counts.credentials(),
                List.copyOf(keys.values()),
                counts.counted(),
                counts.reported());
    }

    private static Future<ReplayOutcome> sendAtArrival(Vertx vertx, TraceClient client, TraceRequest request) {
        Promise<ReplayOutcome> promise = Promise.promise();
        vertx.setTimer(
                Math.max(1, request.arrivalMillis()),
                timer -> client.call(request).onComplete(promise));
        return promise.future();
    }

    private static Map<BackendKind, List<NetworkAddress>> backends(Configuration configuration) {
        Map<BackendKind, List<NetworkAddress>> addresses = new LinkedHashMap<>();
        Arrays.stream(BackendKind.values()).forEach(kind -> addresses.put(kind, new ArrayList<>()));
        configuration
                .backendServers()
                .forEach(server -> addresses.get(server.kind()).add(server.address()));
        return addresses;
    }
}
