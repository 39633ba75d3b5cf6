package org.cranberrygauge.proxy.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.cranberrygauge.proxy.control.UsageFleet.Host;
import org.cranberrygauge.proxy.control.UsageFleet.Report;
import org.junit.jupiter.api.Test;

/** Guards against windows of usage that are reported late or wrongly after the loss of hosts. */
class UsageFleetTest {

    /** The retention of the log in milliseconds, as in the deployments. */
    private static final long RETENTION_MILLIS = 20_000;

    /** A retention longer than each run, in milliseconds. */
    private static final long LONG_RETENTION_MILLIS = 300_000;

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

    /** Guards against a new leader that repeats earlier reports for so long that the due ones come late. */
    @Test
    void allWindowsAreReportedInTimeThoughHostsAreKilledOneAfterTheOther() {
        forSeeds(LONG_RETENTION_MILLIS, fleet -> {
            kill(fleet, fleet.anyBut(List.of(fleet.leader())));
            fleet.advance(between(fleet, 12_000, 17_000));
            kill(fleet, fleet.leader());
            fleet.advance(13_500);
            kill(fleet, fleet.anyBut(List.of(fleet.leader())));
            fleet.advance(AFTERMATH_MILLIS);
            assertAllReportedRightly(fleet);
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
