package org.cranberrygauge.proxy.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.protocol.generated.HostMessage;
import org.cranberrygauge.protocol.generated.StreamAnswer;
import org.cranberrygauge.proxy.stream.StreamOrigin;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against streams that go on at another version because the host that knew where they began is lost (incident
 * ORDER), in fleets of several sizes.
 */
class StreamOriginExchangeTest {

    private static final NetworkAddress OTHER = new NetworkAddress("10.0.0.2", 1);

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

    /** Guards against a stream that goes on at the version of another one, of which an answer came late. */
    @Test
    void anAnswerToTheProcessBeforeAnswersNoLookup() {
        RecordingTransport before = new RecordingTransport();
        exchange(before).find("stream-1", found -> {});
        StreamAnswer late =
                new StreamAnswer(before.lastSent().getStreamQuestion().getNumber());
        late.setPool("chat").setVersion("v1");
        RecordingTransport after = new RecordingTransport();
        List<Optional<StreamOrigin>> answers = new ArrayList<>();
        exchange(after).find("stream-2", answers::add);
        after.deliver(HostMessage.streamAnswer(late), OTHER);
        assertThat(answers).isEmpty();
    }

    /** Starts a process of a host that knows one other. */
    private static StreamOriginExchange exchange(MessageTransport transport) {
        PeerDirectory peers = new PeerDirectory("host-1", "east");
        VirtualTimeline timeline = new VirtualTimeline();
        peers.addHost(timeline.monotonicMillis(), "host-2", OTHER);
        return new StreamOriginExchange(timeline, timeline::after, peers, transport);
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
