package org.cranberrygauge.proxy.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.cranberrygauge.decision.capacity.ServerCapacity;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.model.backend.Supply;
import org.cranberrygauge.proxy.backend.Backend;
import org.cranberrygauge.proxy.configuration.Pool;
import org.cranberrygauge.proxy.routing.BackendChooser.Choice;
import org.cranberrygauge.proxy.routing.BackendLoad.Placement;
import org.cranberrygauge.proxy.routing.PeerLoads.Work;

/**
 * A deterministic queueing model of one host and the servers of a pool: each server serves a number of requests at once
 * and queues the others. An engine reads one prompt at a time, and its streams end some time later. Not thread-safe.
 */
final class UnevenPool {

    private static final long STREAM_MILLIS = 300;

    private static final double INTERVAL_MILLIS = 20;

    private final Pool pool;

    private final int slots;

    private final long targetMillis;

    private final Slowness slowness;

    /** Whether the host uses what it learns; otherwise it chooses as without this part. */
    private final boolean adaptive;

    private final SplittableRandom random;

    private final LoadTable loads = new LoadTable();

    private final EngineProfiles profiles = new EngineProfiles();

    private final ServerCapacity learnt = new ServerCapacity();

    private final BackendChooser chooser;

    private final List<Backend> servers = new ArrayList<>();

    private final int[] busy;

    private final List<Deque<Runnable>> queued = new ArrayList<>();

    private final Deque<Request> waiting = new ArrayDeque<>();

    private final PriorityQueue<Timed> timeline =
            new PriorityQueue<>(Comparator.comparingLong(Timed::atMillis).thenComparingLong(Timed::sequence));

    private final List<Request> requests = new ArrayList<>();

    private long now;

    private long sequence;

    UnevenPool(
            Pool pool, int serverCount, int slots, long targetMillis, Slowness slowness, boolean adaptive, long seed) {
        this.pool = pool;
        this.slots = slots;
        this.targetMillis = targetMillis;
        this.slowness = slowness;
        this.adaptive = adaptive;
        this.random = new SplittableRandom(seed);
        chooser = new BackendChooser(
                "east-a", loads, profiles, adaptive ? learnt : new ServerCapacity(), new SplittableRandom(3));
        busy = new int[serverCount];
        for (int index = 0; index < serverCount; index++) {
            servers.add(new Backend(
                    "server-" + index,
                    1,
                    pool.name(),
                    new NetworkAddress("127.0.0.1", 1),
                    "east-a",
                    "v1",
                    pool.engine().isPresent() ? 64 : slots,
                    false,
                    Supply.REGULAR,
                    0));
            queued.add(new ArrayDeque<>());
        }
    }

    /** Adds requests at random times. */
    UnevenPool withArrivals(long fromMillis, long toMillis, double perSecond) {
        double at = fromMillis;
        while (true) {
            at += -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
            if (at >= toMillis) {
                return this;
            }
            Request request = new Request((long) at);
            requests.add(request);
            schedule(request.atMillis, () -> start(request));
        }
    }

    UnevenPool run() {
        while (!timeline.isEmpty()) {
            Timed next = timeline.poll();
            now = next.atMillis();
            next.action().run();
        }
        return this;
    }

    /** Returns the share of the requests of a period that were answered within the target latency. */
    double inTime(long fromMillis, long toMillis) {
        List<Request> chosen = between(fromMillis, toMillis);
        return (double) chosen.stream()
                        .filter(request -> request.answeredMillis - request.atMillis <= targetMillis)
                        .count()
                / chosen.size();
    }

    /** Returns the share of the requests of a period that a server got. */
    double shareOf(int server, long fromMillis, long toMillis) {
        List<Request> chosen = between(fromMillis, toMillis);
        return (double) chosen.stream()
                        .filter(request -> request.server == server)
                        .count()
                / chosen.size();
    }

    double ratio(int server) {
        return learnt.speed().ratio(now, pool.name(), servers.get(server).incarnation());
    }

    private List<Request> between(long fromMillis, long toMillis) {
        return requests.stream()
                .filter(request -> request.atMillis >= fromMillis && request.atMillis < toMillis)
                .toList();
    }

    private void start(Request request) {
        if (!dispatch(request)) {
            waiting.add(request);
            schedule(request.atMillis + targetMillis / 2, this::dispatchWaiting);
        }
    }

    private void dispatchWaiting() {
        waiting.removeIf(this::dispatch);
    }

    private boolean dispatch(Request request) {
        Prompt prompt = pool.engine().isPresent() ? new Prompt(5_000, 100, List.of()) : Prompt.NONE;
        Choice choice = chooser.choose(now, pool, servers, backend -> true, prompt, PeerLoads.NO_PEERS)
                .orElseThrow();
        if (adaptive && pool.engine().isEmpty() && choice.saturated() && now < request.atMillis + targetMillis / 2) {
            return false;
        }
        request.server = servers.indexOf(choice.backend());
        BackendLoad load = loads.of(choice.backend().incarnation(), pool.memoryTokens());
        profiles.recordSent(pool.name(), prompt, load.uncachedTokens(prompt));
        Placement placement = load.place(prompt, Work.NONE);
        long sent = now;
        queued.get(request.server).add(() -> serve(request, placement, sent));
        serveNext(request.server);
        return true;
    }

    private void serveNext(int server) {
        int parallel = pool.engine().isPresent() ? 1 : slots;
        while (busy[server] < parallel && !queued.get(server).isEmpty()) {
            busy[server]++;
            queued.get(server).poll().run();
        }
    }

    private void serve(Request request, Placement placement, long sent) {
        double typical = pool.engine().isPresent() ? 5_000 / 37.0 : -Math.log(1 - random.nextDouble()) * 42.9;
        schedule(now + Math.round(typical * slowness.at(request.server, now)), () -> {
            request.answeredMillis = now;
            busy[request.server]--;
            String server = servers.get(request.server).incarnation();
            if (pool.engine().isPresent()) {
                placement.started();
                long first = now - sent;
                double predicted = profiles.of(pool.name()).firstEventMillis(placement.tokensToFirstEvent());
                profiles.recordFirstEvent(pool.name(), placement, first);
                double interval = INTERVAL_MILLIS * slowness.at(request.server, now);
                schedule(now + STREAM_MILLIS, () -> {
                    placement.end();
                    learnt.recordStream(now, pool.name(), server, placement.outstanding(), first, predicted, interval);
                });
            } else {
                placement.end();
                learnt.recordResponse(now, pool.name(), server, slots, placement.outstanding(), now - sent);
            }
            serveNext(request.server);
            dispatchWaiting();
        });
    }

    private void schedule(long atMillis, Runnable action) {
        timeline.add(new Timed(atMillis, sequence++, action));
    }

    /** How long a server takes, relative to the usual time. */
    interface Slowness {
        double at(int server, long nowMillis);
    }

    private record Timed(long atMillis, long sequence, Runnable action) {}

    private static final class Request {

        private final long atMillis;

        private int server = -1;

        private long answeredMillis;

        Request(long atMillis) {
            this.atMillis = atMillis;
        }
    }
}
