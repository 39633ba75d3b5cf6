package org.cranberrygauge.proxy.control;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.cranberrygauge.protocol.generated.UsageBatch;
import org.cranberrygauge.protocol.generated.UsageCounted;
import org.cranberrygauge.proxy.exchange.ProxyBlackboard;
import org.cranberrygauge.proxy.leader.BackendOrder;
import org.cranberrygauge.proxy.leader.ControlPlaneClient;
import org.cranberrygauge.proxy.leader.LeaderLease;
import org.cranberrygauge.proxy.leader.Leadership;
import org.cranberrygauge.proxy.leader.PendingUsageCounts;
import org.cranberrygauge.proxy.leader.UsageCount;
import org.cranberrygauge.proxy.leader.UsageCounter;
import org.cranberrygauge.runtime.event.EventLog;

/**
 * A simulated fleet that counts and reports usage, with virtual time, a seed, and a log that retains records for a limited
 * time. Four hosts in two data centres take ten requests a second each. Not thread-safe.
 */
final class UsageFleet {

    static final long WINDOW_MILLIS = 5_000;

    /** The time after the end of a window at which its report is due. */
    static final long DUE_MILLIS = 10_000;

    private static final int HOSTS = 4;

    private static final int DATA_CENTRES = 2;

    private static final long REQUEST_MILLIS = 100;

    private static final long WRITE_MILLIS = 1_000;

    private static final long JOIN_MILLIS = 900;

    private static final long LEASE_MILLIS = 3_000;

    private static final long VALIDITY_MILLIS = 2_600;

    private static final long STANDBY_MILLIS = 30_000;

    /** The newest windows whose counts a host sends each time. */
    private static final int WRITTEN_WINDOWS = 3;

    private static final List<String> CUSTOMERS = List.of("customer-1", "customer-2");

    private final VirtualTimeline timeline = new VirtualTimeline();

    private final SplittableRandom random;

    private final SimulatedStore store;

    private final long retentionMillis;

    private final List<Host> hosts = new ArrayList<>();

    /** The requests that began, by window and customer. */
    private final TreeMap<Long, Map<String, Long>> truth = new TreeMap<>();

    /** The accepted reports, by window and in order. */
    private final TreeMap<Long, List<Report>> reports = new TreeMap<>();

    private long highestToken;

    private Optional<Host> lastReporter = Optional.empty();

    UsageFleet(long retentionMillis, long seed) {
        this.retentionMillis = retentionMillis;
        random = new SplittableRandom(seed);
        store = new SimulatedStore(timeline, random, retentionMillis);
        timeline.advance(random.nextInt((int) WINDOW_MILLIS));
        for (int number = 0; number < HOSTS; number++) {
            hosts.add(new Host(number));
        }
    }

    long now() {
        return timeline.wallMillis();
    }

    SplittableRandom random() {
        return random;
    }

    SimulatedStore store() {
        return store;
    }

    void advance(long millis) {
        timeline.advance(millis);
    }

    List<Host> hosts() {
        return hosts;
    }

    /** Returns the host whose report was accepted last. */
    Host leader() {
        return lastReporter.orElseThrow();
    }

    /** Returns a random host other than some. */
    Host anyBut(List<Host> others) {
        List<Host> left = hosts.stream().filter(host -> !others.contains(host)).toList();
        return left.get(random.nextInt(left.size()));
    }

    Map<Long, Map<String, Long>> truth() {
        return truth;
    }

    Map<Long, List<Report>> reports() {
        return reports;
    }

    /**
     * An accepted report.
     *
     * @param atMillis The time at which it was accepted.
     */
    record Report(Map<String, Long> byCustomer, long atMillis) {}

    /** A host, whose process may be killed and started again. */
    final class Host {

        private final int number;

        private Optional<Life> life = Optional.empty();

        /** Whether the host reaches the log. */
        private boolean cut;

        private long pausedUntilMillis;

        private Host(int number) {
            this.number = number;
            start();
        }

        void kill() {
            life = Optional.empty();
        }

        void start() {
            life = Optional.of(new Life(this));
        }

        /** Kills the host and starts it again after a time. */
        void restart(long afterMillis) {
            kill();
            timeline.after(afterMillis, this::start);
        }

        /** Suspends the host. */
        void pause(long millis) {
            pausedUntilMillis = now() + millis;
        }

        /** Cuts the host off from the log, or ends that. */
        void cut(boolean off) {
            cut = off;
            life.ifPresent(running -> running.log.cut = off);
        }

        boolean sharesDataCentre(Host other) {
            return number % DATA_CENTRES == other.number % DATA_CENTRES;
        }

        private boolean isPaused() {
            return now() < pausedUntilMillis;
        }

        /** Tells whether other hosts can hand counts to this one for the log. */
        private boolean readsLog() {
            return life.isPresent() && !isPaused() && !cut && !store.down;
        }
    }

    /** One run of a host's process. */
    private final class Life implements Leadership, ControlPlaneClient {

        private final Host host;

        private final String incarnation;

        private final UsageCounter counter = new UsageCounter(WINDOW_MILLIS);

        private final PendingUsageCounts pending = new PendingUsageCounts();

        private final LeaderLease lease = new LeaderLease(now(), LEASE_MILLIS, VALIDITY_MILLIS);

        private final SimulatedStore.Client log;

        private long standbyUntilMillis = Long.MIN_VALUE;

        private long lastJoinMillis = Long.MIN_VALUE / 2;

        private long reachesLogSinceMillis = Long.MAX_VALUE;

        private long requests;

        Life(Host host) {
            this.host = host;
            this.incarnation = "host-" + host.number + "/" + now();
            this.log = store.new Client(this::after);
            log.cut = host.cut;
            log.era().onChange((previous, current) -> {
                pending.requeueAll();
                lease.recordRollback(now());
            });
            ControllerContext context =
                    new ControllerContext(null, timeline, log, new ProxyBlackboard(), EventLog.NoOp.INSTANCE);
            new UsageReportController(
                            context,
                            this::after,
                            this,
                            this,
                            "keyed.usage-decided",
                            new UsageMetrics(new PrometheusRegistry()),
                            new UsageTimes(WINDOW_MILLIS, retentionMillis))
                    .start();
            repeat(REQUEST_MILLIS, this::request);
            repeat(WRITE_MILLIS, this::handOver);
            repeat(JOIN_MILLIS, this::join);
        }

        /** Runs an action after a time, or at the end of a pause, unless the process has been killed by then. */
        private void after(long millis, Runnable action) {
            timeline.after(millis, () -> {
                if (host.life.filter(current -> current == this).isEmpty()) {
                    return;
                }
                if (host.isPaused()) {
                    after(host.pausedUntilMillis - now(), action);
                    return;
                }
                action.run();
            });
        }

        private void repeat(long millis, Runnable action) {
            after(random.nextInt((int) millis), () -> {
                action.run();
                after(millis, () -> repeatFrom(millis, action));
            });
        }

        private void repeatFrom(long millis, Runnable action) {
            action.run();
            after(millis, () -> repeatFrom(millis, action));
        }

        private void request() {
            String customer = CUSTOMERS.get((int) (requests++ % CUSTOMERS.size()));
            counter.count(now(), customer);
            truth.computeIfAbsent(counter.windowAt(now()), window -> new HashMap<>())
                    .merge(customer, 1L, Long::sum);
        }

        /** Hands the counts of this host to the one that writes those of its data centre, as {@link UsageCountWriter}. */
        private void handOver() {
            List<UsageCount> counts = ownCounts();
            Optional<Host> writer = writer();
            if (writer.filter(other -> other != host).isPresent()) {
                writer.get().life.ifPresent(other -> counts.forEach(other.pending::merge));
            } else {
                counts.forEach(pending::merge);
            }
            write();
        }

        /** Returns the first host of the data centre that reaches the log, or the first of all. */
        private Optional<Host> writer() {
            return hosts.stream()
                    .filter(Host::readsLog)
                    .filter(host::sharesDataCentre)
                    .findFirst()
                    .or(() -> hosts.stream().filter(Host::readsLog).findFirst());
        }

        private void write() {
            List<UsageCount> changed = pending.drainChanged();
            if (changed.isEmpty()) {
                return;
            }
            List<UsageCounted> messages = new ArrayList<>();
            changed.forEach(
                    count -> messages.add(new UsageCounted(count.incarnation(), count.window(), count.byCustomer())));
            log.append(UsageCountWriter.TOPIC, MessageCodec.write(new UsageBatch(messages)), OptionalLong.empty())
                    .onFailure(failure -> {
                        pending.requeue(changed);
                        hosts.stream()
                                .filter(other -> other != host && !other.isPaused())
                                .flatMap(other -> other.life.stream())
                                .forEach(other -> ownCounts().forEach(other.pending::merge));
                    });
        }

        private List<UsageCount> ownCounts() {
            List<UsageCount> counts = new ArrayList<>();
            counter.newest(WRITTEN_WINDOWS)
                    .forEach((window, byCustomer) -> counts.add(new UsageCount(incarnation, window, byCustomer)));
            return counts;
        }

        private void join() {
            long sentMillis = now();
            if (writer().filter(first -> first == host).isPresent()) {
                standbyUntilMillis = sentMillis + STANDBY_MILLIS;
            }
            if (!isCandidate()) {
                return;
            }
            log.join("duty", incarnation, "duty", LEASE_MILLIS, lease.generation())
                    .onSuccess(assignment -> {
                        reachesLogSinceMillis = now() - lastJoinMillis >= LEASE_MILLIS ? now() : reachesLogSinceMillis;
                        lastJoinMillis = now();
                        lease.recordJoin(sentMillis, sentMillis, assignment);
                    });
        }

        @Override
        public boolean isCandidate() {
            return now() < standbyUntilMillis || fencingToken().isPresent();
        }

        @Override
        public long reachesLogSinceMillis() {
            return reachesLogSinceMillis;
        }

        @Override
        public OptionalLong fencingToken() {
            return lease.fencingToken(now(), now());
        }

        @Override
        public void recordAction() {
            lease.recordAction(now());
        }

        @Override
        public void recordFenced(long fencedToken) {
            lease.recordFenced(fencedToken);
        }

        @Override
        public Future<ControlPlaneOutcome> reportUsage(
                long fencingToken, long usageWindow, Map<String, Long> byCustomer) {
            if (fencingToken < highestToken) {
                return Future.succeededFuture(ControlPlaneOutcome.FENCED);
            }
            highestToken = fencingToken;
            lastReporter = Optional.of(host);
            reports.computeIfAbsent(usageWindow, window -> new ArrayList<>()).add(new Report(byCustomer, now()));
            return Future.succeededFuture(ControlPlaneOutcome.ACCEPTED);
        }

        @Override
        public Future<ControlPlaneOutcome> order(long fencingToken, BackendOrder order) {
            throw new UnsupportedOperationException();
        }
    }
}
