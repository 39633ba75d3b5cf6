package org.cranberrygauge.proxy.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.model.backend.Supply;
import org.cranberrygauge.proxy.backend.Backend;
import org.cranberrygauge.proxy.backend.BackendSnapshot;
import org.cranberrygauge.proxy.exchange.ProxyBlackboard;
import org.cranberrygauge.proxy.store.KeyedRecord;
import org.cranberrygauge.proxy.stream.StreamOrigin;
import org.cranberrygauge.runtime.event.EventLog;
import org.junit.jupiter.api.Test;

/** Guards against streams that go on at another version than the one that began them, since no host knows of them. */
class OriginRecorderTest {

    private static final String POOL = "engines";

    private static final long READ_MILLIS = 300;

    private static final int SEEDS = 40;

    private final VirtualTimeline timeline = new VirtualTimeline();

    private final List<Host> hosts = new ArrayList<>();

    private SplittableRandom random = new SplittableRandom(1);

    private SimulatedLog log = new SimulatedLog(timeline, random);

    /** The versions whose servers are registered. */
    private final Set<String> registered = new HashSet<>(Set.of("v1"));

    @Test
    void theOnlyVersionThatEverServedIsFoundAfterTheLossOfAllHosts() {
        startAll(4, true);
        advance(2_000);
        loseAll();
        startAll(4, false);
        advance(1_000);
        assertThat(find(0)).contains(new StreamOrigin(POOL, "v1"));
    }

    @Test
    void noVersionIsFoundAfterAnotherOneLeftDuringTheLossOfAllHosts() {
        startAll(4, true);
        advance(2_000);
        registered.add("v2");
        advance(1_000);
        loseAll();
        registered.remove("v1");
        startAll(4, false);
        advance(1_000);
        assertThat(find(0)).isEmpty();
    }

    @Test
    void noVersionIsFoundByAHostWhoseListLacksOne() {
        startAll(3, true);
        advance(2_000);
        hosts.get(0).outOfStep = true;
        registered.add("v2");
        advance(1_000);
        assertThat(find(0)).isEmpty();
    }

    @Test
    void noVersionIsFoundByAHostThatDoesNotReachTheLog() {
        startAll(2, true);
        advance(2_000);
        hosts.get(0).client.cut = true;
        assertThat(find(0)).isEmpty();
    }

    @Test
    void noStreamBeginsAtAVersionBeforeItIsStored() {
        startAll(1, true);
        advance(2_000);
        hosts.get(0).client.cut = true;
        registered.add("v2");
        advance(READ_MILLIS);
        assertThat(hosts.get(0).mayBegin("v2")).isFalse();
        advance(2_500);
        assertThat(hosts.get(0).mayBegin("v2")).isTrue();
    }

    @Test
    void aLogThatHoldsNothingThoughTheSystemIsNotNewIsCompleteOnceAllEarlierStreamsHaveEnded() {
        startAll(2, false);
        advance(59_000);
        assertThat(find(0)).isEmpty();
        advance(3_000);
        assertThat(find(0)).contains(new StreamOrigin(POOL, "v1"));
    }

    @Test
    void aVersionThatLeftIsForgottenOnceItsStreamsHaveEnded() {
        startAll(2, true);
        registered.add("v2");
        advance(2_000);
        registered.remove("v1");
        advance(60_000);
        assertThat(find(0)).isEmpty();
        advance(130_000);
        assertThat(find(0)).contains(new StreamOrigin(POOL, "v2"));
    }

    @Test
    void aLogThatCameBackFromAnOlderCopyIsNotTrustedUntilAllEarlierStreamsHaveEnded() {
        startAll(2, true);
        advance(2_000);
        int copy = log.copy();
        registered.add("v2");
        advance(1_000);
        loseAll();
        log.restore(copy);
        registered.remove("v1");
        startAll(2, false);
        advance(2_000);
        assertThat(find(0)).isEmpty();
    }

    /** Guards against joined streams after the log came back without any origin while settings still name a first start (ORDER). */
    @Test
    void anEmptyLogThatCameBackIsNotTakenForThatOfANewSystem() {
        startAll(2, true);
        advance(2_000);
        registered.add("v2");
        advance(1_000);
        loseAll();
        log.restore(0);
        registered.remove("v1");
        startAll(2, true);
        advance(2_000);
        assertThat(find(0)).isEmpty();
    }

    @Test
    void anUnreadableRecordLeavesItOpenWhereStreamsBegan() {
        startAll(1, true);
        advance(2_000);
        log.records().add(new KeyedRecord("odd", Optional.of(new byte[] {1, 2, 3})).bytes());
        assertThat(find(0)).isEmpty();
    }

    @Test
    void noStreamIsJoinedOverReleasesLossesOfAllHostsAndReturnsOfTheLogToOlderCopies() {
        int found = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            found += playRandomly(seed);
        }
        assertThat(found).as("lookups that found a version").isPositive();
    }

    /** Plays one seed, and returns the number of lookups that found a version. */
    private int playRandomly(int seed) {
        random = new SplittableRandom(seed);
        log = new SimulatedLog(timeline, random);
        hosts.clear();
        registered.clear();
        registered.add("v1");
        Map<StreamOrigin, Long> begunMillis = new HashMap<>();
        startAll(3, true);
        int found = 0;
        int release = 1;
        for (int step = 0; step < 400; step++) {
            advance(100 + random.nextInt(400));
            switch (random.nextInt(40)) {
                case 0, 1 -> registered.add("v" + ++release);
                case 2, 3 -> removeOne();
                case 4 -> log.restore(Math.max(0, log.copy() - random.nextInt(4)));
                case 5, 6 -> {
                    loseAll();
                    if (random.nextBoolean()) {
                        log.restore(Math.max(0, log.copy() - random.nextInt(4)));
                    }
                    removeOne();
                    startAll(3, false);
                }
                case 7 -> hosts.get(random.nextInt(hosts.size())).outOfStep ^= true;
                default -> hosts.forEach(host -> host.beginStreams(begunMillis));
            }
            Optional<StreamOrigin> only = find(random.nextInt(hosts.size()));
            found += only.isPresent() ? 1 : 0;
            long now = timeline.monotonicMillis();
            begunMillis.values().removeIf(begun -> now - begun > 50_000);
            only.ifPresent(origin ->
                    assertThat(begunMillis.keySet()).as("seed %d", seed).isSubsetOf(Set.of(origin)));
        }
        return found;
    }

    /** Removes the servers of some version, unless it is the only one. */
    private void removeOne() {
        List<String> versions = registered.stream().sorted().toList();
        if (versions.size() > 1) {
            registered.remove(versions.get(random.nextInt(versions.size())));
        }
    }

    private void startAll(int count, boolean firstStart) {
        for (int number = 0; number < count; number++) {
            hosts.add(new Host(number, firstStart));
        }
    }

    private void loseAll() {
        hosts.forEach(host -> host.lost = true);
        hosts.clear();
    }

    /** Looks up where all streams began, and lets the lookup time out if it has to. */
    private Optional<StreamOrigin> find(int host) {
        List<Optional<StreamOrigin>> answers = new ArrayList<>();
        hosts.get(host).recorder.findOnly(POOL, answers::add);
        timeline.advance(READ_MILLIS);
        assertThat(answers).hasSize(1);
        return answers.get(0);
    }

    private void advance(long millis) {
        for (long passed = 0; passed < millis; passed += READ_MILLIS) {
            hosts.forEach(Host::readList);
            timeline.advance(Math.min(READ_MILLIS, millis - passed));
        }
    }

    private static BackendSnapshot snapshot(Set<String> versions) {
        return new BackendSnapshot(
                versions.stream().map(OriginRecorderTest::backend).toList(), true);
    }

    private static Backend backend(String version) {
        NetworkAddress address = new NetworkAddress("127.0.0.1", 1);
        return new Backend("i-" + version, 1, POOL, address, "east-a", version, 64, false, Supply.REGULAR, 0);
    }

    /** One host. */
    private final class Host {

        private final SimulatedLog.Client client = log.new Client();

        private final ProxyBlackboard blackboard = new ProxyBlackboard();

        private final OriginRecorder recorder;

        private Set<String> listed = Set.of();

        /** Whether its list of backend servers is not updated. */
        private boolean outOfStep;

        private boolean lost;

        Host(int number, boolean firstStart) {
            recorder = new OriginRecorder(
                    new ControllerContext(null, timeline, client, blackboard, EventLog.NoOp.INSTANCE),
                    (millis, action) -> timeline.after(millis, () -> {
                        if (!lost) {
                            action.run();
                        }
                    }),
                    "origins",
                    "host-" + number,
                    firstStart,
                    () -> number == 0);
            recorder.start();
        }

        private void readList() {
            listed = outOfStep ? listed : Set.copyOf(registered);
            recorder.observe(snapshot(listed));
        }

        private boolean mayBegin(String version) {
            return blackboard.mayBeginStream(backend(version));
        }

        private void beginStreams(Map<StreamOrigin, Long> begunMillis) {
            for (String version : listed) {
                if (mayBegin(version)) {
                    begunMillis.put(new StreamOrigin(POOL, version), timeline.monotonicMillis());
                }
            }
        }
    }
}
