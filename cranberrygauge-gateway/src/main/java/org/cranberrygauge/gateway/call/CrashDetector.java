package org.cranberrygauge.gateway.call;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.cranberrygauge.gateway.schedule.BackendTableUpdater;
import org.cranberrygauge.model.backend.BackendServer;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * Distinguishes a crashed backend server from a broken connection: a server has crashed if it refuses a new connection
 * after one was lost.
 *
 * <p>Invariants: a backend server that refuses connections receives no requests until it accepts one again; calls that
 * lose their connections to it at the same time share one probe. Safe for use by several threads.
 */
public final class CrashDetector {

    /** The connect timeout of a probe in milliseconds. */
    private static final int PROBE_TIMEOUT_MILLIS = 300;

    /** The interval at which crashed backend servers are probed in milliseconds. */
    private static final long PROBE_INTERVAL_MILLIS = 200;

    private final NetClient client;

    private final BackendTableUpdater backends;

    private final TimeSource time;

    /** The probes in progress by backend server name. */
    private final Map<String, Future<Boolean>> probes = new ConcurrentHashMap<>();

    private final Map<String, BackendServer> crashed = new ConcurrentHashMap<>();

    public CrashDetector(Vertx vertx, BackendTableUpdater backends, TimeSource time) {
        this.client = vertx.createNetClient(new NetClientOptions().setConnectTimeout(PROBE_TIMEOUT_MILLIS));
        this.backends = backends;
        this.time = time;
        vertx.setPeriodic(PROBE_INTERVAL_MILLIS, timer -> probeCrashed());
    }

    /**
     * Probes a backend server to which a connection was lost.
     *
     * @return Whether it has crashed.
     */
    public Future<Boolean> probe(BackendServer server) {
        Promise<Boolean> promise = Promise.promise();
        Future<Boolean> inProgress = probes.putIfAbsent(server.name(), promise.future());
        if (inProgress != null) {
            return inProgress;
        }
        client.connect(server.address().port(), server.address().host()).onComplete(result -> {
            if (result.succeeded()) {
                crashed.remove(server.name());
                result.result().close();
            } else {
                crashed.put(server.name(), server);
                backends.recordFailure(time.monotonicMillis(), server);
            }
            probes.remove(server.name());
            promise.complete(result.failed());
        });
        return promise.future();
    }

    /** Probes the crashed backend servers and removes those that are no longer configured or listed. */
    private void probeCrashed() {
        crashed.values().removeIf(server -> !backends.isKnown(server));
        crashed.values().forEach(this::probe);
    }
}
