package org.cranberrygauge.proxy.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import org.cranberrygauge.decision.quarantine.BackendCrash;
import org.cranberrygauge.decision.quarantine.CrashingParts;
import org.cranberrygauge.decision.quarantine.SuspectPart;
import org.cranberrygauge.runtime.event.EventLog;

/**
 * A simulated fleet before engines that crash on a part of prompts, with virtual time and a seed. Requests with that part
 * share their first part and their routes with sound ones. Not thread-safe.
 */
final class CrashingFleet {

    private static final int RUN_MILLIS = 40_000;

    private static final int CRASHING_FROM_MILLIS = 4_000;

    /** The time within which a host in touch must act. */
    private static final int CONTACT_MILLIS = 3_000;

    /** The crashes from which the hosts must know. */
    private static final int KNOWN_CRASHES = 5;

    private static final int RESTART_MILLIS = 3_500;

    /** The maximum time until a request begins to write an answer. */
    private static final int MAXIMUM_BEGIN_MILLIS = 600;

    /** The maximum time from then until a request crashes its engine. */
    private static final int MAXIMUM_CRASH_MILLIS = 150;

    /** The maximum time from then until a sound request ends. */
    private static final int MAXIMUM_WRITE_MILLIS = 4_000;

    /** The time after which a request that writes has shown that it is sound. */
    private static final int SOUND_AFTER_MILLIS = 1_000;

    private static final int ROUTES = 3;

    /** The second parts of the prompts of one route, the first ones of which are used most. */
    private static final int PARTS_PER_ROUTE = 8;

    private static final long CRASHING_PART = 666;

    private final SplittableRandom random;

    private final SimulatedNetwork network;

    private final Map<Integer, State> states = new HashMap<>();

    private final List<Engine> engines = new ArrayList<>();

    private final double soundPerSecond;

    private double crashingPerSecond;

    /** The time between crashes of random engines, whatever they run; 0 if there are none. */
    private int randomCrashMillis;

    /** The time between losses of a third of the engines at the same moment; 0 if there are none. */
    private int lossMillis;

    private int harmMillis;

    private long fifthCrashMillis = Long.MAX_VALUE / 2;

    private int crashes;

    private int lateArrivals;

    private int sound;

    private int soundBlocked;

    CrashingFleet(int hosts, int engineCount, long seed) {
        random = new SplittableRandom(seed);
        network = new SimulatedNetwork(seed, host -> states.put(host.number(), new State(host)));
        for (int number = 0; number < hosts; number++) {
            network.join();
        }
        for (int number = 0; number < engineCount; number++) {
            engines.add(new Engine(number));
        }
        soundPerSecond = 3.0 * engineCount;
    }

    CrashingFleet withCrashingPart(double perSecond) {
        crashingPerSecond = perSecond;
        return this;
    }

    CrashingFleet withRandomCrashes(int everyMillis) {
        randomCrashMillis = everyMillis;
        return this;
    }

    CrashingFleet withLosses(int everyMillis) {
        lossMillis = everyMillis;
        return this;
    }

    CrashingFleet withHostFaults(int everyMillis) {
        harmMillis = everyMillis;
        return this;
    }

    CrashingFleet run() {
        while (now() < RUN_MILLIS) {
            network.step();
            faults();
            engines.forEach(Engine::step);
            double step = SimulatedNetwork.STEP_MILLIS / 1_000.0;
            if (random.nextDouble() < soundPerSecond * step) {
                sendSound();
            }
            if (now() > CRASHING_FROM_MILLIS && random.nextDouble() < crashingPerSecond * step) {
                send(randomHost(), 0, CRASHING_PART, true);
            }
        }
        return this;
    }

    /** Returns the requests with the crashing part that reached engines too late after the fifth crash. */
    int lateArrivals() {
        return lateArrivals;
    }

    double blockedShareOfSound() {
        return (double) soundBlocked / sound;
    }

    int crashes() {
        return crashes;
    }

    private void faults() {
        if (isDue(harmMillis)) {
            network.harmOne();
        }
        if (isDue(randomCrashMillis)) {
            engines.get(random.nextInt(engines.size())).crash();
        }
        if (isDue(lossMillis)) {
            engines.stream().limit(engines.size() / 3).forEach(Engine::crash);
        }
        if (harmMillis > 0 && now() == RUN_MILLIS / 2) {
            network.join();
        }
    }

    private boolean isDue(int everyMillis) {
        return everyMillis > 0 && now() % everyMillis == 0;
    }

    private void sendSound() {
        State host = randomHost();
        int route = random.nextInt(ROUTES);
        int rank = Math.min(random.nextInt(PARTS_PER_ROUTE), random.nextInt(PARTS_PER_ROUTE));
        sound++;
        if (!send(host, route, 10L * (route + 1) + rank, false)) {
            soundBlocked++;
        }
    }

    /** @return Whether the request is not blocked. */
    private boolean send(State host, int route, long part, boolean crashing) {
        List<SuspectPart> parts = List.of(new SuspectPart(route + 1, 0), new SuspectPart(part, 1));
        if (host.host.isFrozen()) {
            return true;
        }
        if (host.crashingParts.isBlocked(() -> parts)) {
            return false;
        }
        List<Engine> serving = engines.stream().filter(Engine::isServing).toList();
        if (serving.isEmpty()) {
            return true;
        }
        if (crashing && now() > fifthCrashMillis + CONTACT_MILLIS && host.host.isCalmFor(CONTACT_MILLIS)) {
            lateArrivals++;
        }
        long begin = now() + 1 + random.nextInt(MAXIMUM_BEGIN_MILLIS);
        long end = begin + random.nextInt(crashing ? MAXIMUM_CRASH_MILLIS : MAXIMUM_WRITE_MILLIS);
        serving.get(random.nextInt(serving.size())).running.add(new Run(host, parts, begin, end, crashing));
        return true;
    }

    private State randomHost() {
        return states.get(random.nextInt(network.hosts().size()));
    }

    private long now() {
        return network.now();
    }

    /** What one host knows. */
    private final class State {

        private final SimulatedNetwork.Host host;

        private final CrashingParts crashingParts = new CrashingParts();

        private final CrashExchange exchange;

        private State(SimulatedNetwork.Host host) {
            this.host = host;
            exchange = new CrashExchange(
                    network.timeline(),
                    host.peers(),
                    host,
                    crashingParts,
                    EventLog.NoOp.INSTANCE,
                    new Random(host.number()));
            network.timeline().after(CrashExchange.INTERVAL_MILLIS, this::update);
        }

        private void update() {
            if (states.get(host.number()) != this) {
                return;
            }
            if (!host.isFrozen()) {
                exchange.update();
            }
            network.timeline().after(CrashExchange.INTERVAL_MILLIS, this::update);
        }
    }

    /** A request that runs. */
    private record Run(State host, List<SuspectPart> parts, long beginMillis, long endMillis, boolean crashing) {

        boolean isShownSound(long nowMillis) {
            return nowMillis - beginMillis >= SOUND_AFTER_MILLIS;
        }
    }

    /** One engine, which starts again some time after a crash. */
    private final class Engine {

        private final int number;

        private final List<Run> running = new ArrayList<>();

        private int starts;

        private long servesFromMillis;

        private Engine(int number) {
            this.number = number;
        }

        private boolean isServing() {
            return now() >= servesFromMillis;
        }

        private void step() {
            boolean crashing = running.stream().anyMatch(run -> run.crashing() && now() >= run.endMillis());
            if (crashing) {
                crash();
                return;
            }
            for (Run run : List.copyOf(running)) {
                if (now() >= run.endMillis()) {
                    running.remove(run);
                }
                if (now() >= run.endMillis() || run.isShownSound(now())) {
                    run.host.host.whenAwake(() -> run.host.crashingParts.recordCompletion(now(), run.parts()));
                }
            }
        }

        private void crash() {
            if (!isServing()) {
                return;
            }
            String incarnation = "engine-" + number + "/" + starts++;
            servesFromMillis = now() + RESTART_MILLIS;
            if (running.stream().anyMatch(Run::crashing) && ++crashes == KNOWN_CRASHES) {
                fifthCrashMillis = now();
            }
            Set<State> affected = new HashSet<>();
            running.forEach(run -> affected.add(run.host));
            affected.forEach(state -> report(state, incarnation));
            retry(List.copyOf(running));
        }

        /** Lets a host find out that the engine crashed and what it ran there. */
        private void report(State state, String incarnation) {
            Map<Long, Integer> parts = new HashMap<>();
            running.stream()
                    .filter(run -> run.host == state && !run.isShownSound(now()))
                    .forEach(run -> run.parts().forEach(part -> parts.put(part.part(), part.position())));
            int delay = 1 + random.nextInt(20);
            network.timeline()
                    .after(
                            delay,
                            () -> state.host.whenAwake(
                                    () -> state.exchange.record(new BackendCrash(incarnation, now(), parts))));
        }

        /** Sends half of the requests that were running to another engine, as far as they aren't blocked by then. */
        private void retry(List<Run> broken) {
            running.clear();
            for (Run run : broken) {
                if (random.nextBoolean()) {
                    long part = run.parts().get(1).part();
                    send(run.host, (int) run.parts().get(0).part() - 1, part, run.crashing());
                }
            }
        }
    }
}
