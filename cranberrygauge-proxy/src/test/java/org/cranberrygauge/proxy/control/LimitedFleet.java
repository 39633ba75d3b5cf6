package org.cranberrygauge.proxy.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import org.cranberrygauge.decision.backend.BackendLimits;
import org.cranberrygauge.decision.backend.BackendStatement;
import org.cranberrygauge.decision.backend.BackendStatements;
import org.cranberrygauge.decision.backend.BackendStatements.Shared;
import org.cranberrygauge.decision.backend.ColdServers;
import org.cranberrygauge.decision.backend.HeldPermits;
import org.cranberrygauge.decision.backend.RateStatement;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.protocol.generated.HostMessage;
import org.cranberrygauge.protocol.generated.HostReport;

/**
 * A simulated fleet before one backend server that states a limit, with virtual time and a seed.
 *
 * <p>Messages take some milliseconds and a few are lost. Each host has more requests than the limit allows. Not
 * thread-safe.
 */
final class LimitedFleet {

    private static final String SERVER = "i-1/1";

    private static final int STEP_MILLIS = 5;

    private static final int RUN_MILLIS = 40_000;

    private static final int REPORT_MILLIS = 200;

    private static final double MESSAGE_LOSS = 0.03;

    private static final int MAXIMUM_MESSAGE_MILLIS = 12;

    private static final int MAXIMUM_SEND_MILLIS = 40;

    private static final int RESPONSE_MILLIS = 20;

    /** The time after the first statement, and after a fault of a host, in which its requests don't count. */
    private static final int CONTACT_MILLIS = 3_000;

    /** The time after which a host that passed on a statement is bound by it. */
    private static final int BINDING_MILLIS = 500;

    private static final int WINDOW_MILLIS = 4_000;

    private static final double ALLOWED_FACTOR = 1.5;

    private static final int ALLOWED_REQUESTS = 5;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final SplittableRandom random;

    private final List<Host> hosts = new ArrayList<>();

    private final VirtualTimeline timeline = new VirtualTimeline();

    /** The arrivals that count against the limit, in order. */
    private final List<Long> counted = new ArrayList<>();

    private OptionalDouble limit;

    /** The limit that the counted arrivals are judged by: the highest in force in the window. */
    private final List<LimitChange> changes = new ArrayList<>();

    private boolean reports = true;

    /** Whether hosts of even and odd numbers hear of each other. */
    private boolean partitioned;

    private int arrivals;

    LimitedFleet(int size, double limitPerSecond, long seed) {
        random = new SplittableRandom(seed);
        for (int number = 0; number < size; number++) {
            hosts.add(new Host(number));
        }
        setLimit(OptionalDouble.of(limitPerSecond));
    }

    void runCalm() {
        run(Faults.NONE);
    }

    void runWithFaults() {
        run(Faults.RANDOM);
    }

    void runWithoutReports() {
        reports = false;
        run(Faults.NONE);
    }

    void runPartitioned() {
        run(Faults.PARTITION);
    }

    /** Changes the limit after a third and after two thirds of the time, and ends it shortly before the end. */
    void runWithChanges(double second, double third) {
        while (now() < RUN_MILLIS) {
            step(Faults.NONE);
            if (now() == RUN_MILLIS / 3 / STEP_MILLIS * STEP_MILLIS) {
                setLimit(OptionalDouble.of(second));
            } else if (now() == RUN_MILLIS * 2 / 3 / STEP_MILLIS * STEP_MILLIS) {
                setLimit(OptionalDouble.of(third));
            } else if (now() == RUN_MILLIS - 2 * WINDOW_MILLIS) {
                setLimit(OptionalDouble.empty());
            }
        }
    }

    double arrivalsPerSecond() {
        return arrivals / (RUN_MILLIS / MILLIS_PER_SECOND);
    }

    /** Returns by how many requests the worst window exceeds what the limit allows; not above 0 if none does. */
    double worstExcess() {
        double worst = Double.NEGATIVE_INFINITY;
        int first = 0;
        for (int last = 0; last < counted.size(); last++) {
            while (counted.get(last) - counted.get(first) >= WINDOW_MILLIS) {
                first++;
            }
            double allowed = allowed(counted.get(last) - WINDOW_MILLIS, counted.get(last));
            worst = Math.max(worst, last - first + 1 - allowed);
        }
        return worst;
    }

    /** Returns what the limits allow in a window; each holds until hosts that passed on the next are bound by it. */
    private double allowed(long fromMillis, long toMillis) {
        double highest = 0;
        for (int index = 0; index < changes.size(); index++) {
            long end = index + 1 < changes.size() ? changes.get(index + 1).atMillis() + BINDING_MILLIS : Long.MAX_VALUE;
            if (changes.get(index).atMillis() <= toMillis && end >= fromMillis) {
                highest = Math.max(highest, changes.get(index).limit().orElse(Double.POSITIVE_INFINITY));
            }
        }
        return ALLOWED_FACTOR * highest * WINDOW_MILLIS / MILLIS_PER_SECOND + ALLOWED_REQUESTS;
    }

    private void setLimit(OptionalDouble perSecond) {
        limit = perSecond;
        changes.add(new LimitChange(now(), perSecond));
    }

    private void run(Faults faults) {
        while (now() < RUN_MILLIS) {
            step(faults);
        }
    }

    private void step(Faults faults) {
        timeline.advance(STEP_MILLIS);
        faults.apply(this);
        hosts.forEach(Host::step);
    }

    private long now() {
        return timeline.monotonicMillis();
    }

    private NetworkAddress address(int host) {
        return new NetworkAddress("10.0.0." + host, 1);
    }

    /** What befalls hosts. */
    private enum Faults {
        NONE {
            @Override
            void apply(LimitedFleet fleet) {}
        },
        RANDOM {
            @Override
            void apply(LimitedFleet fleet) {
                if (fleet.random.nextInt(400) > 0) {
                    return;
                }
                Host host = fleet.hosts.get(fleet.random.nextInt(fleet.hosts.size()));
                long until = fleet.now() + 300 + fleet.random.nextInt(5_000);
                host.faultEndMillis = until;
                switch (fleet.random.nextInt(3)) {
                    case 0 -> host.frozenUntilMillis = until;
                    case 1 -> host.cutUntilMillis = until;
                    default -> host.restart();
                }
            }
        },
        PARTITION {
            @Override
            void apply(LimitedFleet fleet) {
                fleet.partitioned = fleet.now() > RUN_MILLIS / 4 && fleet.now() < RUN_MILLIS * 3 / 4;
            }
        };

        abstract void apply(LimitedFleet fleet);
    }

    /** One host: its own state, and the requests that it sends. */
    private final class Host {

        private final int number;

        private BackendStatements statements;

        private HeldPermits permits;

        private PeerDirectory peers;

        private PermitExchange exchange;

        private Map<HostMessage._Fields, BiConsumer<HostMessage, NetworkAddress>> handlers;

        private long startedMillis;

        private long sequence;

        private long frozenUntilMillis;

        private long cutUntilMillis;

        /** The end of the last fault of this host. */
        private long faultEndMillis = -CONTACT_MILLIS;

        /** The time at which this host first passed on a statement. */
        private long toldMillis = Long.MAX_VALUE;

        /** The requests that wait for this server. */
        private int wanted;

        /** Messages that arrived while the host was frozen. */
        private final List<Runnable> backlog = new ArrayList<>();

        Host(int number) {
            this.number = number;
            restart();
        }

        void restart() {
            startedMillis = now();
            sequence = 0;
            toldMillis = Long.MAX_VALUE;
            statements = new BackendStatements();
            permits = new HeldPermits();
            peers = new PeerDirectory("host-" + number, "east");
            handlers = new EnumMap<>(HostMessage._Fields.class);
            BackendLimits limits = new BackendLimits(statements, new ColdServers(pool -> 0));
            exchange = new PermitExchange(timeline, peers, new Transport(this), limits, permits, () -> {});
            handlers.put(HostMessage._Fields.REPORT, this::receiveReport);
        }

        void step() {
            if (now() < frozenUntilMillis) {
                return;
            }
            backlog.forEach(Runnable::run);
            backlog.clear();
            if (reports && (now() + 37L * number) % REPORT_MILLIS < STEP_MILLIS) {
                report();
            }
            double demandPerSecond = 3 * limit.orElse(10) / hosts.size() + 1;
            if (random.nextDouble() < demandPerSecond * STEP_MILLIS / MILLIS_PER_SECOND) {
                wanted = Math.min(wanted + 1, 5);
            }
            while (wanted > 0 && trySend()) {
                wanted--;
            }
        }

        private boolean trySend() {
            if (statements.limit(SERVER).isPresent() && !permits.use(now(), SERVER)) {
                if (permits.mayRequest(now(), SERVER)) {
                    permits.recordRequest(now(), SERVER);
                    exchange.request(SERVER);
                }
                return false;
            }
            timeline.after(1 + random.nextInt(MAXIMUM_SEND_MILLIS), this::arrive);
            return true;
        }

        private void arrive() {
            arrivals++;
            boolean bound = now() - BINDING_MILLIS >= toldMillis && now() >= CONTACT_MILLIS;
            if (bound && now() - faultEndMillis > CONTACT_MILLIS) {
                counted.add(now());
            }
            RateStatement stated =
                    limit.isPresent() ? RateStatement.limited(limit.getAsDouble()) : RateStatement.Standard.UNLIMITED;
            timeline.after(
                    RESPONSE_MILLIS,
                    () -> whenAwake(() -> {
                        statements.observe(now(), SERVER, BackendStatement.NONE.withRate(stated));
                        toldMillis = Math.min(toldMillis, now());
                    }));
        }

        private void whenAwake(Runnable action) {
            if (now() < frozenUntilMillis) {
                backlog.add(action);
            } else {
                action.run();
            }
        }

        private void report() {
            Map<String, Shared> stated = statements.shared(now(), Set.of(SERVER));
            HostReport report = new HostReport(
                    "host-" + number, startedMillis, ++sequence, Map.of(), List.of(), List.of(), "east", true);
            if (!stated.isEmpty()) {
                report.setStated(StatementReports.write(now(), stated));
            }
            for (Host other : hosts) {
                if (other != this) {
                    send(other, HostMessage.report(report));
                }
            }
        }

        private void receiveReport(HostMessage message, NetworkAddress sender) {
            if (peers.update(now(), message.getReport(), sender)
                    && message.getReport().isSetStated()) {
                StatementReports.read(now(), message.getReport().getStated())
                        .forEach((incarnation, shared) -> statements.merge(now(), incarnation, shared));
            }
        }

        private void send(Host receiver, HostMessage message) {
            boolean cut = now() < cutUntilMillis || now() < receiver.cutUntilMillis;
            boolean separated = partitioned && number % 2 != receiver.number % 2;
            if (cut || separated || random.nextDouble() < MESSAGE_LOSS) {
                return;
            }
            timeline.after(
                    1 + random.nextInt(MAXIMUM_MESSAGE_MILLIS),
                    () -> receiver.whenAwake(() -> {
                        BiConsumer<HostMessage, NetworkAddress> handler = receiver.handlers.get(message.getSetField());
                        handler.accept(message, address(number));
                    }));
        }
    }

    /** Sends the messages of one host. */
    private final class Transport implements MessageTransport {

        private final Host host;

        Transport(Host host) {
            this.host = host;
        }

        @Override
        public void onMessage(HostMessage._Fields kind, BiConsumer<HostMessage, NetworkAddress> handler) {
            host.handlers.put(kind, handler);
        }

        @Override
        public void send(HostMessage message, Collection<NetworkAddress> receivers) {
            for (Host receiver : hosts) {
                if (receivers.contains(address(receiver.number))) {
                    host.send(receiver, message);
                }
            }
        }
    }

    private record LimitChange(long atMillis, OptionalDouble limit) {}
}
