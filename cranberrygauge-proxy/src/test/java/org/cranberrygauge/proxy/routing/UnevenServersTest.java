package org.cranberrygauge.proxy.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;
import org.cranberrygauge.proxy.ProxyFixtures;
import org.cranberrygauge.proxy.routing.UnevenPool.Slowness;
import org.junit.jupiter.api.Test;

/** Compares the choice by measured speed and concurrency limits with the choice without them. */
class UnevenServersTest {

    private static final double[] SPEEDS = {0.7, 1, 1.7};

    /** The number of seeds over which noisy response times are averaged. */
    private static final int SEEDS = 20;

    /** Guards against slow engines that get as many prompts as fast ones and answer them late. */
    @Test
    void enginesOfDifferentSpeedAnswerMoreRequestsInTimeIfTheirSpeedIsMeasured() {
        Slowness thirds = (server, now) -> SPEEDS[server % 3];
        UnevenPool before = engines(thirds, false);
        UnevenPool measured = engines(thirds, true);
        assertThat(measured.inTime(2_000, 20_000)).isGreaterThan(before.inTime(2_000, 20_000) + 0.03);
        assertThat(measured.ratio(2)).isGreaterThan(measured.ratio(0));
    }

    /** Guards against noise of the measurement that changes the choice between equal engines. */
    @Test
    void equalEnginesAreChosenAsWithoutMeasuredSpeed() {
        UnevenPool before = engines((server, now) -> 1, false);
        UnevenPool measured = engines((server, now) -> 1, true);
        for (int server = 0; server < 12; server++) {
            assertThat(measured.ratio(server)).isEqualTo(1);
            assertThat(measured.shareOf(server, 0, 20_000)).isEqualTo(before.shareOf(server, 0, 20_000));
        }
    }

    /** Guards against a short slowdown that is noticed too late, or that keeps work away from a recovered server. */
    @Test
    void aServerThatIsSlowForAMomentGetsLessWorkMeanwhileAndRecovers() {
        Slowness interval = (server, now) -> server == 0 && now >= 4_000 && now < 4_600 ? 2.5 : 1;
        List<UnevenPool> before = services(interval, false, 300);
        List<UnevenPool> measured = services(interval, true, 300);
        double shareBefore = mean(before, pool -> pool.shareOf(0, 4_200, 4_600));
        assertThat(mean(measured, pool -> pool.shareOf(0, 4_200, 4_600)))
                .isPositive()
                .isLessThan(shareBefore);
        assertThat(mean(measured, pool -> pool.inTime(4_000, 4_800)))
                .isGreaterThanOrEqualTo(mean(before, pool -> pool.inTime(4_000, 4_800)));
        assertThat(mean(measured, pool -> pool.shareOf(0, 6_000, 8_000))).isGreaterThan(0.2);
    }

    /** Guards against requests that queue at a slow server while others have room. */
    @Test
    void aBurstAtAServiceWithASlowServerIsAnsweredInTimeMoreOften() {
        Slowness oneSlow = (server, now) -> server == 0 ? 2.5 : 1;
        double before = mean(services(oneSlow, false, 420), pool -> pool.inTime(3_000, 6_000));
        double measured = mean(services(oneSlow, true, 420), pool -> pool.inTime(3_000, 6_000));
        assertThat(1 - measured).isLessThan(0.8 * (1 - before));
    }

    private static UnevenPool engines(Slowness slowness, boolean adaptive) {
        return new UnevenPool(ProxyFixtures.ENGINES, 12, 64, 500, slowness, adaptive, 7)
                .withArrivals(0, 20_000, 70)
                .run();
    }

    /** Runs a service with a usual load, and another one in the middle, for several seeds. */
    private static List<UnevenPool> services(Slowness slowness, boolean adaptive, double perSecond) {
        return LongStream.range(0, SEEDS)
                .mapToObj(seed -> new UnevenPool(ProxyFixtures.LEDGER, 4, 6, 200, slowness, adaptive, seed)
                        .withArrivals(0, 3_000, 200)
                        .withArrivals(3_000, 6_000, perSecond)
                        .withArrivals(6_000, 8_000, 200)
                        .run())
                .toList();
    }

    private static double mean(List<UnevenPool> pools, ToDoubleFunction<UnevenPool> measure) {
        return pools.stream().mapToDouble(measure).average().orElseThrow();
    }
}
