package org.cranberrygauge.proxy.backend;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.cranberrygauge.runtime.event.EventLog;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * Tells whether this host is isolated from all backend servers: whether none of several takes a connection.
 *
 * <p>Servers are examined only after a failure, and while the host is isolated. The examination belongs to the event loop
 * of requests; the results are read by any thread.
 */
public final class BackendReachability {

    /** The time that a server has to take a connection. */
    private static final int CONNECT_TIMEOUT_MILLIS = 300;

    /** The number of servers that are examined at a time. */
    private static final int EXAMINED_SERVERS = 3;

    /** The interval between examinations while the host is isolated. */
    private static final long ISOLATED_INTERVAL_MILLIS = 250;

    /** The age up to which a response of any server shows that the host is not isolated. */
    private static final long RECENT_RESPONSE_MILLIS = 500;

    /** The time since the last response of any server within which this host tells others that it reaches some. */
    private static final long REACHING_MILLIS = 10_000;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final Vertx vertx;

    private final NetClient client;

    private final TimeSource time;

    private final Supplier<BackendSnapshot> backends;

    private final EventLog events;

    private final Random random = new Random();

    /** The actions that wait until the host is not isolated. */
    private final List<Runnable> waitingUntilReachable = new ArrayList<>();

    /** The receivers of the result of the examination in progress. */
    private final List<Consumer<Boolean>> waiting = new ArrayList<>();

    private volatile boolean isolated;

    private volatile long lastHeardMillis = NEVER;

    private boolean examining;

    private long isolatedSinceMillis;

    /** @param backends Returns the servers that are listed now. */
    public BackendReachability(Vertx vertx, TimeSource time, Supplier<BackendSnapshot> backends, EventLog events) {
        this.vertx = vertx;
        this.client = vertx.createNetClient(new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS));
        this.time = time;
        this.backends = backends;
        this.events = events;
    }

    /** Tells whether the host was isolated when this was examined last. */
    public boolean isIsolated() {
        return isolated;
    }

    /**
     * Tells whether the host has reached a server lately, so that an isolated one can forward requests to it.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    public boolean reaches(long nowMillis) {
        return !isolated && nowMillis - lastHeardMillis <= REACHING_MILLIS;
    }

    /**
     * Records that a server has sent something.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    public void recordHeard(long nowMillis) {
        lastHeardMillis = nowMillis;
    }

    /**
     * Examines whether the host is isolated because a server does not respond, unless any has responded lately.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    public void checkSilence(long nowMillis) {
        if (nowMillis - lastHeardMillis > RECENT_RESPONSE_MILLIS) {
            check(result -> {});
        }
    }

    /**
     * Examines whether the host is isolated.
     *
     * @param done Receives the result.
     */
    public void check(Consumer<Boolean> done) {
        if (isolated) {
            done.accept(true);
            return;
        }
        waiting.add(done);
        if (!examining) {
            examine();
        }
    }

    /** Runs an action once the host is not isolated. */
    public void whenReachable(Runnable action) {
        if (isolated) {
            waitingUntilReachable.add(action);
        } else {
            action.run();
        }
    }

    private void examine() {
        List<Backend> listed = new ArrayList<>(backends.get().all());
        listed.removeIf(Backend::leaving);
        if (listed.isEmpty()) {
            end(false);
            return;
        }
        examining = true;
        Collections.shuffle(listed, random);
        Examination examination = new Examination(Math.min(EXAMINED_SERVERS, listed.size()));
        listed.stream().limit(EXAMINED_SERVERS).forEach(examination::connect);
    }

    private void end(boolean unreachable) {
        examining = false;
        if (unreachable != isolated) {
            recordChange(unreachable);
        }
        isolated = unreachable;
        List<Consumer<Boolean>> answered = List.copyOf(waiting);
        waiting.clear();
        answered.forEach(done -> done.accept(unreachable));
        if (unreachable) {
            vertx.setTimer(ISOLATED_INTERVAL_MILLIS, fired -> examine());
            return;
        }
        List<Runnable> due = List.copyOf(waitingUntilReachable);
        waitingUntilReachable.clear();
        due.forEach(Runnable::run);
    }

    private void recordChange(boolean unreachable) {
        long now = time.monotonicMillis();
        if (unreachable) {
            isolatedSinceMillis = now;
            events.emit(
                    new BackendEvents.BackendsUnreachable(backends.get().all().size()));
        } else {
            events.emit(new BackendEvents.BackendsReachable(now - isolatedSinceMillis));
        }
    }

    /** One examination of some servers, which ends with the first that takes a connection. */
    private final class Examination {

        private int pending;

        private boolean ended;

        private Examination(int servers) {
            pending = servers;
        }

        private void connect(Backend backend) {
            client.connect(backend.address().port(), backend.address().host()).onComplete(connected -> {
                pending--;
                if (connected.succeeded()) {
                    connected.result().close();
                }
                if (!ended && (connected.succeeded() || pending == 0)) {
                    ended = true;
                    end(connected.failed());
                }
            });
        }
    }
}
