package org.cranberrygauge.decision.capacity;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.junit.jupiter.api.Test;

class ServerSpeedTest {

    private static final String POOL = "engines";

    private final ServerSpeed speed = new ServerSpeed();

    private final SplittableRandom random = new SplittableRandom(5);

    private long now = 1_000;

    /** Guards against a slowdown that shows only after its requests are late. */
    @Test
    void aRatioRisesWithinAFewRequestsAndFallsSlowly() {
        observe(speed, 20, 1);
        observe(speed, 5, 2.5);
        double risen = ratio("a");
        assertThat(risen).isGreaterThan(1.4);
        observe(speed, 5, 1);
        assertThat(ratio("a")).isBetween(1.1, risen);
        observe(speed, 60, 1);
        assertThat(ratio("a")).isEqualTo(1);
    }

    /** Guards against a server that gets no work for ever because it was slow once. */
    @Test
    void aRatioFadesWithoutObservations() {
        observe(speed, 20, 2.5);
        assertThat(ratio("a")).isGreaterThan(1.5);
        now += 20_000;
        assertThat(ratio("a")).isEqualTo(1);
    }

    /** Guards against the ratio of an incarnation that has ended. */
    @Test
    void aRestartedServerStartsAtTheTypicalRatio() {
        observe(speed, 20, 2.5);
        assertThat(ratio("a")).isGreaterThan(1.5);
        assertThat(ratio("a/2")).isEqualTo(1);
        speed.retain(server -> !server.equals("a"));
        now += 100;
        assertThat(ratio("a")).isEqualTo(1);
    }

    /** Guards against a slow host, to which all servers look slow, or which reports some of them as slow. */
    @Test
    void aHostThatIsSlowItselfDoesNotMarkServersAsSlow() {
        ServerSpeed slowHost = new ServerSpeed();
        for (int round = 0; round < 20; round++) {
            for (String server : List.of("a", "b", "c", "d")) {
                slowHost.record(now, POOL, server, 300, 100);
            }
            now += 20;
        }
        assertThat(slowHost.report(now, 64))
                .containsOnlyKeys("a", "b", "c", "d")
                .allSatisfy((server, percent) -> assertThat(percent).isEqualTo(100));
        observe(speed, 5, 1);
        speed.setReported(Map.of("a", List.of(6.0, 1.0, 1.0), "unobserved", List.of(6.0, 1.0, 1.0)));
        assertThat(ratio("a")).isEqualTo(1);
        assertThat(ratio("unobserved")).isEqualTo(1);
    }

    /** Guards against hosts of which each sends too little to a server to notice its speed. */
    @Test
    void hostsThatAgreeMarkAServerAsSlowForAHostThatHasNotObservedIt() {
        speed.setReported(Map.of("a", List.of(1.8, 1.7, 1.6, 1.9, 1.7, 1.7, 1.8, 1.6)));
        assertThat(ratio("a")).isBetween(1.25, 1.8);
    }

    @Test
    void aReportContainsTheServersThatDifferMost() {
        observe(speed, 20, 2.5);
        assertThat(speed.report(now, 1)).containsOnlyKeys("a");
        assertThat(speed.report(now, 1).get("a")).isCloseTo(250, within(20));
        now += 6_000;
        assertThat(speed.report(now, 64)).isEmpty();
    }

    /** Guards against random differences that move work between equal servers. */
    @Test
    void equalServersHaveNoRatio() {
        for (int round = 0; round < 200; round++) {
            for (String server : List.of("a", "b", "c", "d")) {
                speed.record(now, POOL, server, 80 + random.nextDouble() * 40, 100);
            }
            now += 20;
            assertThat(ratio("a")).isEqualTo(1);
        }
    }

    @Property(tries = 100)
    void aRatioIsBounded(@ForAll @DoubleRange(min = 0, max = 1e9) double millis) {
        ServerSpeed other = new ServerSpeed();
        for (int round = 0; round < 30; round++) {
            other.record(round, POOL, "a", millis, 100);
            other.record(round, POOL, "b", 100, 100);
            other.record(round, POOL, "c", 100, 100);
        }
        assertThat(other.ratio(100, POOL, "a")).isBetween(0.25, 8.0);
    }

    /** Records rounds of four servers, of which the first takes longer. */
    private void observe(ServerSpeed observer, int rounds, double ratio) {
        for (int round = 0; round < rounds; round++) {
            observer.record(now, POOL, "a", 100 * ratio, 100);
            for (String server : List.of("b", "c", "d")) {
                observer.record(now, POOL, server, 100, 100);
            }
            now += 20;
        }
        now += 60;
    }

    private double ratio(String server) {
        return speed.ratio(now, POOL, server);
    }
}
