package org.cranberrygauge.proxy.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.cranberrygauge.proxy.control.SimulatedStore.Topic;
import org.cranberrygauge.proxy.control.UsageFleet.Host;
import org.cranberrygauge.proxy.control.UsageFleet.Report;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against windows of usage that are reported with two figures since a new leader does not know what was decided before
 * the log forgot it, and against windows that are given up though they could be reported.
 */
class UsageFleetTest {

    /** The retention of the log in milliseconds, as in the deployments. */
    private static final long RETENTION_MILLIS = 20_000;

    private static final int SEEDS = 40;

    private static final long RESTART_MILLIS = 1_000;

    /** The time for which all hosts run before the first trouble. */
    private static final int QUIET_MILLIS = 22_000;

    /** The time for which all hosts run after the last trouble. */
    private static final int AFTERMATH_MILLIS = 40_000;

    /** The time before a host stops in which the counts that it has not written are missing. */
    private static final long UNWRITTEN_MILLIS = 2_100;

    /** The part by which a report may differ from the truth. */
    private static final double TOLERANCE = 0.05;

    /** The times at which hosts were killed or paused. */
    private final List<Long> stopMillis = new ArrayList<>();

    @Test
    void allWindowsAreReportedInTimeWhileNothingFails() {
        forSeeds(RETENTION_MILLIS, fleet -> {
            fleet.advance(60_000);
            assertAllReportedRightly(fleet);
        });
    }

    @ParameterizedTest
    @ValueSource(longs = {5_000, 10_000, 20_000, 300_000})
    void noWindowHasTwoFiguresThoughHostsAreKilledOneAfterTheOther(long retentionMillis) {
        forSeeds(retentionMillis, fleet -> {
            kill(fleet, fleet.anyBut(List.of(fleet.leader())));
            fleet.advance(between(fleet, 12_000, 17_000));
            kill(fleet, fleet.leader());
            fleet.advance(13_500);
            kill(fleet, fleet.anyBut(List.of(fleet.leader())));
            fleet.advance(AFTERMATH_MILLIS);
            assertAllReportedRightly(fleet);
        });
    }

    @ParameterizedTest
    @ValueSource(longs = {5_000, 10_000, 20_000, 300_000})
    void noWindowHasTwoFiguresThoughTheLeaderIsKilledAgainAndAgain(long retentionMillis) {
        forSeeds(retentionMillis, fleet -> {
            for (int kill = 0; kill < 4; kill++) {
                kill(fleet, kill % 2 == 0 ? fleet.leader() : fleet.anyBut(List.of(fleet.leader())));
                fleet.advance(between(fleet, 4_000, 16_000));
            }
            fleet.advance(AFTERMATH_MILLIS);
            assertOneFigure(fleet);
            assertNoneWithoutCounts(fleet);
        });
    }

    @Test
    void noWindowHasTwoFiguresThoughTheLeaderIsPaused() {
        forSeeds(RETENTION_MILLIS, fleet -> {
            kill(fleet, fleet.anyBut(List.of(fleet.leader())));
            fleet.advance(between(fleet, 11_000, 16_000));
            stopMillis.add(fleet.now());
            fleet.leader().pause(9_000);
            fleet.advance(AFTERMATH_MILLIS);
            assertAllReportedRightly(fleet);
        });
    }

    @Test
    void noWindowHasTwoFiguresThoughTheNewLeaderWasCutOffFromTheLog() {
        forSeeds(RETENTION_MILLIS, fleet -> {
            Host cut = fleet.anyBut(List.of(fleet.leader()));
            cut.cut(true);
            fleet.advance(between(fleet, 14_000, 23_000));
            cut.cut(false);
            fleet.hosts().stream().filter(host -> host != cut).forEach(host -> kill(fleet, host));
            fleet.advance(AFTERMATH_MILLIS);
            assertAllReportedRightly(fleet);
        });
    }

    @Test
    void noWindowHasTwoFiguresThoughADataCentreWasCutOffFromTheLog() {
        forSeeds(RETENTION_MILLIS, fleet -> {
            Host leader = fleet.leader();
            List<Host> cut = fleet.hosts().stream()
                    .filter(host -> !host.sharesDataCentre(leader))
                    .toList();
            cut.forEach(host -> host.cut(true));
            fleet.advance(between(fleet, 16_000, 24_000));
            cut.forEach(host -> host.cut(false));
            fleet.hosts().stream().filter(host -> !cut.contains(host)).forEach(host -> kill(fleet, host));
            fleet.advance(AFTERMATH_MILLIS);
            assertAllReportedRightly(fleet);
        });
    }

    /** The report of a window that ends while the log is away comes late. */
    @Test
    void allWindowsAreReportedThoughTheLogIsAwayAndTheLeaderIsKilledMeanwhile() {
        forSeeds(RETENTION_MILLIS, fleet -> {
            fleet.store().down = true;
            fleet.advance(between(fleet, 7_000, 12_000));
            kill(fleet, fleet.leader());
            fleet.advance(between(fleet, 7_000, 12_000));
            fleet.store().down = false;
            fleet.advance(AFTERMATH_MILLIS);
            assertOneFigure(fleet);
            assertNoneWithoutCounts(fleet);
            assertThat(fleet.reports().keySet()).containsAll(expectedWindows(fleet));
        });
    }

    @Test
    void noWindowHasTwoFiguresThoughAllHostsAreKilledAtOnce() {
        forSeeds(RETENTION_MILLIS, fleet -> {
            long downMillis = between(fleet, 500, 12_000);
            for (Host host : fleet.hosts()) {
                stopMillis.add(fleet.now());
                host.restart(downMillis);
            }
            fleet.advance(downMillis + AFTERMATH_MILLIS);
            assertOneFigure(fleet);
            assertNoneWithoutCounts(fleet);
        });
    }

    /** Guards against a leader that presumes no requests in windows whose counts have expired. */
    @Test
    void noWindowWithRequestsIsReportedWithoutAnyThoughNoHostReachedTheLogForLong() {
        forSeeds(RETENTION_MILLIS, fleet -> {
            fleet.hosts().forEach(host -> host.cut(true));
            fleet.advance(between(fleet, 20_000, 60_000));
            Host left = fleet.anyBut(List.of());
            fleet.hosts().stream().filter(host -> host != left).forEach(host -> kill(fleet, host));
            fleet.advance(2 * RESTART_MILLIS);
            fleet.hosts().forEach(host -> host.cut(false));
            fleet.advance(AFTERMATH_MILLIS);
            assertOneFigure(fleet);
            assertNoneWithoutCounts(fleet);
        });
    }

    @ParameterizedTest
    @ValueSource(longs = {5_000, 10_000, 20_000, 300_000})
    void noWindowHasTwoFiguresInRandomHistories(long retentionMillis) {
        forSeeds(retentionMillis, fleet -> {
            for (int trouble = 0; trouble < 8; trouble++) {
                disturb(fleet);
                fleet.advance(between(fleet, 200, 16_000));
            }
            fleet.hosts().forEach(host -> host.cut(false));
            fleet.advance(AFTERMATH_MILLIS);
            assertOneFigure(fleet);
            assertNoneWithoutCounts(fleet);
        });
    }

    @ParameterizedTest
    @ValueSource(longs = {10_000, 20_000, 300_000})
    void noWindowHasTwoFiguresThoughTheLogComesBackOlderInRandomHistories(long retentionMillis) {
        forSeeds(retentionMillis, fleet -> {
            for (int trouble = 0; trouble < 8; trouble++) {
                Map<String, Topic> copy = fleet.store().copy();
                fleet.advance(between(fleet, 200, 8_000));
                disturb(fleet);
                if (trouble % 3 == 1) {
                    fleet.store().restore(copy);
                }
                fleet.advance(between(fleet, 200, 12_000));
            }
            fleet.hosts().forEach(host -> host.cut(false));
            fleet.advance(AFTERMATH_MILLIS);
            assertOneFigure(fleet);
            assertNoneWithoutCounts(fleet);
        });
    }

    private void forSeeds(long retentionMillis, Consumer<UsageFleet> history) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            stopMillis.clear();
            UsageFleet fleet = new UsageFleet(retentionMillis, seed);
            fleet.advance(QUIET_MILLIS);
            try {
                history.accept(fleet);
            } catch (AssertionError error) {
                throw new AssertionError("seed " + seed + ": " + error.getMessage(), error);
            }
        }
    }

    private void disturb(UsageFleet fleet) {
        Host leader = fleet.leader();
        switch (fleet.random().nextInt(6)) {
            case 0 -> kill(fleet, leader);
            case 1 -> kill(fleet, fleet.anyBut(List.of(leader)));
            case 2 -> leader.pause(between(fleet, 500, 12_000));
            case 3 -> fleet.anyBut(List.of()).cut(true);
            case 4 -> fleet.hosts().forEach(host -> host.cut(false));
            default -> fleet.hosts().stream().filter(host -> host != leader).forEach(host -> kill(fleet, host));
        }
    }

    private void kill(UsageFleet fleet, Host host) {
        stopMillis.add(fleet.now());
        host.restart(RESTART_MILLIS);
    }

    /** Returns a random time in milliseconds. */
    private static long between(UsageFleet fleet, int least, int most) {
        return fleet.random().nextInt(least, most);
    }

    private void assertAllReportedRightly(UsageFleet fleet) {
        assertOneFigure(fleet);
        assertNoneWithoutCounts(fleet);
        Set<Long> expected = expectedWindows(fleet);
        assertThat(fleet.reports().keySet()).as("reported windows").containsAll(expected);
        for (long window : expected) {
            Report first = fleet.reports().get(window).get(0);
            assertThat(first.atMillis())
                    .as("time of the report of window " + window)
                    .isLessThanOrEqualTo((window + 1) * UsageFleet.WINDOW_MILLIS + UsageFleet.DUE_MILLIS);
            if (!countsWereLost(window)) {
                assertRight(window, first, fleet.truth().get(window));
            }
        }
    }

    private static void assertRight(long window, Report report, Map<String, Long> truth) {
        truth.forEach(
                (customer, requests) -> assertThat((double) report.byCustomer().getOrDefault(customer, 0L))
                        .as("requests of " + customer + " in window " + window)
                        .isBetween(requests * (1 - TOLERANCE), requests * (1 + TOLERANCE)));
    }

    /** Returns the windows that lie within the run and are due at its end. */
    private static Set<Long> expectedWindows(UsageFleet fleet) {
        Set<Long> windows = new HashSet<>(fleet.truth().keySet());
        long first = fleet.truth().keySet().iterator().next();
        windows.removeIf(window ->
                window == first || (window + 1) * UsageFleet.WINDOW_MILLIS + UsageFleet.DUE_MILLIS > fleet.now());
        return windows;
    }

    /** Tells whether a host was stopped that may not have written its last counts of a window. */
    private boolean countsWereLost(long window) {
        long startMillis = window * UsageFleet.WINDOW_MILLIS;
        return stopMillis.stream()
                .anyMatch(killed ->
                        killed >= startMillis && killed < startMillis + UsageFleet.WINDOW_MILLIS + UNWRITTEN_MILLIS);
    }

    private static void assertOneFigure(UsageFleet fleet) {
        fleet.reports()
                .forEach((window, reports) -> assertThat(
                                reports.stream().map(Report::byCustomer).collect(Collectors.toSet()))
                        .as("figures of window " + window)
                        .hasSize(1));
    }

    private static void assertNoneWithoutCounts(UsageFleet fleet) {
        fleet.reports().forEach((window, reports) -> {
            if (fleet.truth().containsKey(window)) {
                assertThat(reports.get(0).byCustomer())
                        .as("figures of window " + window)
                        .isNotEmpty();
            }
        });
    }
}
