package org.cranberrygauge.proxy.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.SplittableRandom;
import org.cranberrygauge.proxy.stream.StreamOrigin;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against streams that go on at another version because the host that knew where they began is lost (incident
 * ORDER), in fleets of several sizes.
 */
class StreamOriginExchangeTest {

    private static final int STREAMS = 60;

    private static final int SEEDS = 5;

    @ParameterizedTest
    @ValueSource(ints = {4, 38, 63})
    void everyHostFindsWhereAStreamBeganAfterTheHostThatBeganItWasRestarted(int size) {
        for (long seed = 0; seed < SEEDS; seed++) {
            StreamFleet fleet = new StreamFleet(size, seed);
            beginAll(fleet, 0);
            fleet.restart(0);
            assertThat(foundByAny(fleet, seed)).as("seed %d", seed).isGreaterThanOrEqualTo(STREAMS - 1);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {38, 63})
    void mostStreamsAreFoundAfterAThirdOfTheHostsWereRestartedOrFroze(int size) {
        for (long seed = 0; seed < SEEDS; seed++) {
            StreamFleet fleet = new StreamFleet(size, seed);
            beginAll(fleet, 0);
            for (int host = 0; host < size / 3; host++) {
                if (host % 2 == 0) {
                    fleet.restart(host);
                } else {
                    fleet.freeze(host);
                }
            }
            assertThat(foundByAny(fleet, seed)).as("seed %d", seed).isGreaterThan(STREAMS * 8 / 10);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {4, 38, 63})
    void aHostThatJoinedFindsWhereAStreamBegan(int size) {
        StreamFleet fleet = new StreamFleet(size, 1);
        beginAll(fleet, 0);
        int joined = fleet.join();
        int found = 0;
        for (int stream = 0; stream < STREAMS; stream++) {
            found += fleet.find(joined, "stream-" + stream).equals(Optional.of(origin(stream))) ? 1 : 0;
        }
        assertThat(found).isGreaterThanOrEqualTo(STREAMS - 1);
    }

    @Test
    void aStreamThatNoHostKnowsIsReportedAsUnknown() {
        assertThat(new StreamFleet(4, 1).find(0, "never begun")).isEmpty();
    }

    @Test
    void aHostWithoutOthersKnowsItsOwnStreams() {
        StreamFleet fleet = new StreamFleet(1, 1);
        fleet.begin(0, "stream-1", origin(1));
        assertThat(fleet.find(0, "stream-1")).contains(origin(1));
        assertThat(fleet.find(0, "stream-2")).isEmpty();
    }

    @Test
    void theMessagesOfAStreamDoNotGrowWithTheFleet() {
        StreamFleet small = new StreamFleet(6, 1);
        StreamFleet large = new StreamFleet(63, 1);
        beginAll(small, 0);
        beginAll(large, 0);
        assertThat(large.streamMessages()).isEqualTo(small.streamMessages());
    }

    private static void beginAll(StreamFleet fleet, int host) {
        for (int stream = 0; stream < STREAMS; stream++) {
            fleet.begin(host, "stream-" + stream, origin(stream));
        }
        fleet.advance(50);
    }

    /** Looks each stream up at a random host that runs, and returns how many were found; none may be found wrongly. */
    private static int foundByAny(StreamFleet fleet, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int found = 0;
        for (int stream = 0; stream < STREAMS; stream++) {
            int host = fleet.size() / 3 + random.nextInt(fleet.size() - fleet.size() / 3);
            Optional<StreamOrigin> origin = fleet.find(host, "stream-" + stream);
            assertThat(origin.orElse(origin(stream))).isEqualTo(origin(stream));
            found += origin.isPresent() ? 1 : 0;
        }
        return found;
    }

    private static StreamOrigin origin(int stream) {
        return new StreamOrigin("engines", "v" + stream % 2);
    }
}
