package org.cranberrygauge.decision.cleaning;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.DayOfWeek;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cranberrygauge.decision.drain.DrainState;
import org.cranberrygauge.model.backend.BackendKind;
import org.cranberrygauge.model.backend.BackendServer;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.model.backend.Supply;
import org.cranberrygauge.model.configuration.CleaningWindow;
import org.cranberrygauge.model.record.LogRecord.DrainEnded;
import org.cranberrygauge.model.record.LogRecord.DrainStarted;
import org.junit.jupiter.api.Test;

class CleaningPlannerTest {

    private static final long FENCING = 7;
    private static final long OPEN_MILLIS =
            Instant.parse("2026-12-01T02:00:00Z").toEpochMilli();
    private static final long HOUR_MILLIS = 3_600_000;
    private static final long CLEANING_MILLIS = 600_000;
    private static final CleaningWindow WINDOW = new CleaningWindow("dk-east-a", DayOfWeek.TUESDAY, 120, 180);

    private final CleaningPlanner planner = new CleaningPlanner(CLEANING_MILLIS);
    private final List<BackendServer> servers = new ArrayList<>(
            List.of(server("engine-1", "dk-east-a"), server("engine-2", "dk-east-a"), server("engine-3", "dk-east-b")));
    private final Map<String, Integer> inFlight = new HashMap<>();
    private DrainState drains = DrainState.initial();
    private int waiting;
    private boolean complete = true;

    @Test
    void nothing_is_drained_outside_the_window() {
        assertThat(decide(OPEN_MILLIS - 1).actions()).noneMatch(CleaningAction.Start.class::isInstance);
    }

    @Test
    void one_server_of_a_busy_model_is_drained_at_a_time() {
        inFlight.put("engine-3", 5);
        assertThat(decide(OPEN_MILLIS).actions())
                .containsExactly(new CleaningAction.Start(drainId("engine-1"), "engine-1"));
    }

    @Test
    void two_servers_of_a_model_are_drained_at_once_where_capacity_allows() {
        servers.add(server("engine-4", "dk-east-b"));
        inFlight.put("engine-3", 8);
        assertThat(decide(OPEN_MILLIS).actions()).hasSize(2);
    }

    @Test
    void a_replacement_is_ordered_first_if_the_other_servers_cannot_carry_the_work() {
        inFlight.put("engine-2", 8);
        inFlight.put("engine-3", 8);
        assertThat(decide(OPEN_MILLIS).actions()).isEmpty();
        assertThat(decide(OPEN_MILLIS).reserve()).containsKey("amber-large");
        servers.add(server("engine-4", "dk-east-b"));
        assertThat(decide(OPEN_MILLIS).actions()).hasSize(1);
    }

    @Test
    void the_last_server_of_a_model_is_never_drained() {
        servers.subList(1, 3).clear();
        assertThat(decide(OPEN_MILLIS).actions()).isEmpty();
    }

    @Test
    void a_server_gets_work_again_only_after_it_was_empty_for_the_cleaning_time() {
        drain("engine-1");
        inFlight.put("engine-1", 1);
        assertThat(finishes(OPEN_MILLIS + HOUR_MILLIS)).isFalse();
        inFlight.clear();
        assertThat(finishes(OPEN_MILLIS + HOUR_MILLIS + 1_000)).isFalse();
        assertThat(finishes(OPEN_MILLIS + HOUR_MILLIS + CLEANING_MILLIS)).isFalse();
        assertThat(finishes(OPEN_MILLIS + HOUR_MILLIS + CLEANING_MILLIS + 4_000))
                .isTrue();
    }

    @Test
    void a_server_is_not_taken_as_empty_while_a_gateway_is_silent() {
        drain("engine-1");
        complete = false;
        assertThat(finishes(OPEN_MILLIS + 1_000)).isFalse();
        assertThat(finishes(OPEN_MILLIS + 2 * HOUR_MILLIS)).isFalse();
    }

    @Test
    void a_server_that_still_runs_a_request_when_the_window_closes_is_reported_as_missed_once_and_not_cut() {
        drain("engine-1");
        inFlight.put("engine-1", 1);
        assertThat(decide(OPEN_MILLIS + 3 * HOUR_MILLIS).actions())
                .contains(new CleaningAction.Release(drainId("engine-1"), "engine-1"))
                .contains(new CleaningAction.Missed(drainId("engine-1"), "engine-1", "requests_in_flight"));
        assertThat(decide(OPEN_MILLIS + 3 * HOUR_MILLIS + 1_000).actions())
                .containsExactly(new CleaningAction.Release(drainId("engine-1"), "engine-1"));
    }

    @Test
    void a_missed_server_is_planned_again_a_week_later() {
        drains = drains.apply(new DrainEnded(drainId("engine-1"), FENCING), FENCING);
        assertThat(decide(OPEN_MILLIS + 7 * 24 * HOUR_MILLIS).actions())
                .anyMatch(action -> action.backendServer().equals("engine-1"));
    }

    @Test
    void a_server_that_is_not_yet_empty_returns_to_service_when_its_model_has_no_free_slot() {
        drain("engine-1");
        inFlight.putAll(Map.of("engine-1", 1, "engine-2", 8, "engine-3", 8));
        waiting = 4;
        assertThat(decide(OPEN_MILLIS + 1_000).actions())
                .containsExactly(new CleaningAction.Suspend(drainId("engine-1"), "engine-1", "capacity_lost"));
    }

    @Test
    void a_new_holder_does_not_clean_a_server_again_that_was_cleaned_in_this_window() {
        drain("engine-1");
        drains = drains.apply(new DrainEnded(drainId("engine-1"), FENCING), FENCING);
        CleaningPlanner successor = new CleaningPlanner(CLEANING_MILLIS);
        assertThat(successor.decide(OPEN_MILLIS + 1_000, view()).actions())
                .noneMatch(action -> action.backendServer().equals("engine-1"));
    }

    private boolean finishes(long wallMillis) {
        return decide(wallMillis).actions().stream().anyMatch(CleaningAction.Finish.class::isInstance);
    }

    private CleaningPlanner.Decision decide(long wallMillis) {
        return planner.decide(wallMillis, view());
    }

    private CleaningView view() {
        return new CleaningView(List.of(WINDOW), servers, drains, inFlight, waiting, complete);
    }

    private void drain(String server) {
        drains = drains.apply(new DrainStarted(drainId(server), FENCING, Set.of(server), "cleaning"), FENCING);
    }

    private static String drainId(String server) {
        return CleaningOccurrence.last(WINDOW, OPEN_MILLIS).drainId(server);
    }

    private static BackendServer server(String name, String dataCentre) {
        return new BackendServer(
                name,
                new NetworkAddress("127.0.0.1", 1),
                dataCentre,
                BackendKind.MODEL,
                Set.of("amber-large"),
                Supply.REGULAR,
                8,
                true);
    }
}
