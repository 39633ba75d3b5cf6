package org.cranberrygauge.proxy.exchange;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.cranberrygauge.decision.backend.BackendStatements;
import org.cranberrygauge.decision.quarantine.BackendCrash;
import org.cranberrygauge.decision.quarantine.SuspectPart;
import org.cranberrygauge.proxy.backend.Backend;
import org.cranberrygauge.proxy.backend.BackendReachability;

/**
 * Finds out whether backend servers whose connections broke have crashed: a server that was to serve and takes no new
 * connection has, unless this host is isolated from all. One that leaves, or whose connections were only reset, has not.
 * Not thread-safe.
 */
public final class CrashWatch {

    /** The time that a server has to take a connection. */
    private static final int CONNECT_TIMEOUT_MILLIS = 300;

    private final NetClient client;

    private final ProxyBlackboard blackboard;

    private final BackendStatements statements;

    /** Receives the crashes. */
    private final Consumer<BackendCrash> crashes;

    private final BackendReachability reachability;

    /** What ran on the servers that are examined, by incarnation. */
    private final Map<String, Suspicion> suspicions = new HashMap<>();

    public CrashWatch(
            Vertx vertx,
            ProxyBlackboard blackboard,
            BackendStatements statements,
            BackendReachability reachability,
            Consumer<BackendCrash> crashes) {
        this.client = vertx.createNetClient(new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS));
        this.blackboard = blackboard;
        this.statements = statements;
        this.reachability = reachability;
        this.crashes = crashes;
    }

    /**
     * Records that the connection of a request broke.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param parts The request and the shared parts of its prompt.
     */
    void recordBroken(long nowMillis, Backend backend, List<SuspectPart> parts) {
        if (!isToServe(backend)) {
            return;
        }
        Suspicion suspicion = suspicions.get(backend.incarnation());
        if (suspicion == null) {
            suspicion = new Suspicion(nowMillis, new HashMap<>());
            suspicions.put(backend.incarnation(), suspicion);
            examine(backend);
        }
        Map<Long, Integer> positions = suspicion.positions();
        parts.forEach(part -> positions.merge(part.part(), part.position(), Math::min));
    }

    private boolean isToServe(Backend backend) {
        return blackboard.backends().isReady(backend) && !statements.isLeaving(backend.incarnation());
    }

    private void examine(Backend backend) {
        client.connect(backend.address().port(), backend.address().host()).onComplete(connected -> {
            Suspicion suspicion = suspicions.remove(backend.incarnation());
            if (connected.succeeded()) {
                connected.result().close();
                return;
            }
            BackendCrash crash = new BackendCrash(backend.incarnation(), suspicion.atMillis(), suspicion.positions());
            reachability.check(isolated -> judge(crash, isolated));
        });
    }

    /**
     * Reports a crash. While this host is isolated, or all servers are gone, no connect tells the two apart; the list of
     * servers does afterwards.
     */
    private void judge(BackendCrash crash, boolean isolated) {
        if (!isolated) {
            crashes.accept(crash);
            return;
        }
        reachability.whenReachable(() -> {
            if (!blackboard.backends().lists(crash.incarnation())) {
                crashes.accept(crash);
            }
        });
    }

    /**
     * What ran on a server that may have crashed.
     *
     * @param atMillis The monotonic time of the first broken connection in milliseconds.
     * @param positions The positions of the parts of prompts, to which more are added.
     */
    private record Suspicion(long atMillis, Map<Long, Integer> positions) {}
}
