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
 * Tells a crashed backend server from a broken connection: a crash is a lost connection after which a new one is refused.
 *
 * <p>Invariants: a backend server that refuses connections gets no work until it takes one again; the calls that lose it
 * together share one probe. Safe for use by several threads.
 */
public final class CrashDetector {

    /** The time after which a probe is given up in milliseconds. */
    private static final int PROBE_TIMEOUT_MILLIS = 300;

    /** The time between two probes of a crashed backend server in milliseconds. */
    private static final long PROBE_INTERVAL_MILLIS = 200;

    /** The client. */
    private final NetClient client;

    /** The backend servers. */
    private final BackendTableUpdater board;

    /** The sources of time. */
    private final TimeSource time;

    /** The probes under way, by name of the backend server. */
    private final Map<String, Future<Boolean>> probes = new ConcurrentHashMap<>();

    /** The crashed backend servers, by name. */
    private final Map<String, BackendServer> crashed = new ConcurrentHashMap<>();

    /**
     * Creates a detector.
     *
     * @param vertx The Vert.x instance.
     * @param board The backend servers.
     * @param time The sources of time.
     */
    public CrashDetector(Vertx vertx, BackendTableUpdater board, TimeSource time) {
        this.client = vertx.createNetClient(new NetClientOptions().setConnectTimeout(PROBE_TIMEOUT_MILLIS));
        this.board = board;
        this.time = time;
        vertx.setPeriodic(PROBE_INTERVAL_MILLIS, timer -> probeCrashed());
    }

    /**
     * Judges a backend server to which a connection was lost.
     *
     * @param server The backend server.
     * @return Whether it crashed.
     */
    public Future<Boolean> judge(BackendServer server) {
        Promise<Boolean> promise = Promise.promise();
        Future<Boolean> running = probes.putIfAbsent(server.name(), promise.future());
        if (running != null) {
            return running;
        }
        client.connect(server.address().port(), server.address().host()).onComplete(result -> {
            if (result.succeeded()) {
                crashed.remove(server.name());
                result.result().close();
            } else {
                crashed.put(server.name(), server);
                board.failed(time.monotonicMillis(), server);
            }
            probes.remove(server.name());
            promise.complete(result.failed());
        });
        return promise.future();
    }

    /** Probes the crashed backend servers, and forgets those that are no longer known. */
    private void probeCrashed() {
        crashed.values().removeIf(server -> !board.isKnown(server));
        crashed.values().forEach(this::judge);
    }
}
