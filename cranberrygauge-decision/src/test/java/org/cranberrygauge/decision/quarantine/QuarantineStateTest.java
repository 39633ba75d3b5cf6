package org.cranberrygauge.decision.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class QuarantineStateTest {

    private static final QuarantineLimits LIMITS = new QuarantineLimits(2, 10_000, 60_000, 3, 1_000, 2_000);

    private static final RequestFingerprint POISON = RequestFingerprint.of("alpha", "/chat", "poison");

    private static final RequestFingerprint OTHER = RequestFingerprint.of("beta", "/chat", "other");

    private final QuarantineState initial = QuarantineState.initial(LIMITS);

    @Test
    void a_request_that_ran_on_a_crashed_server_is_suspected_and_is_quarantined_after_the_second_crash() {
        QuarantineState once = initial.withCrash(100, POISON, "a", 50);
        QuarantineState twice = once.withCrash(200, POISON, "b", 150);

        assertThat(initial.status(100, POISON)).isEqualTo(QuarantineStatus.Clear.INSTANCE);
        assertThat(once.status(100, POISON)).isEqualTo(QuarantineStatus.Suspect.INSTANCE);
        assertThat(once.status(100, OTHER)).isEqualTo(QuarantineStatus.Clear.INSTANCE);
        assertThat(twice.status(200, POISON)).isEqualTo(new QuarantineStatus.Quarantined(10_000));
    }

    @Test
    void a_request_is_a_suspect_after_its_quarantine_and_is_forgotten_later() {
        QuarantineState twice = initial.withCrash(100, POISON, "a", 50).withCrash(200, POISON, "b", 150);

        assertThat(twice.status(10_199, POISON)).isEqualTo(new QuarantineStatus.Quarantined(1));
        assertThat(twice.status(10_200, POISON)).isEqualTo(QuarantineStatus.Suspect.INSTANCE);
        assertThat(twice.status(60_200, POISON)).isEqualTo(QuarantineStatus.Clear.INSTANCE);
    }

    @Test
    void a_request_is_quarantined_again_after_one_more_crash() {
        QuarantineState again = initial.withCrash(100, POISON, "a", 50)
                .withCrash(200, POISON, "b", 150)
                .withCrash(11_000, POISON, "c", 10_900);

        assertThat(again.status(11_000, POISON)).isInstanceOf(QuarantineStatus.Quarantined.class);
    }

    @Test
    void a_completed_run_at_any_gateway_clears_a_suspect() {
        QuarantineState once = initial.withCrash(100, POISON, "a", 50);

        assertThat(once.withCompletion(300, POISON).status(300, POISON)).isEqualTo(QuarantineStatus.Clear.INSTANCE);
        assertThat(once.withPeer(300, "peer", List.of(new QuarantineObservation.Cleared(POISON, 10)))
                        .status(300, POISON))
                .isEqualTo(QuarantineStatus.Clear.INSTANCE);
    }

    @Test
    void crashes_observed_by_peers_are_counted() {
        QuarantineState state = initial.withCrash(100, POISON, "a", 50)
                .withPeer(300, "peer", List.of(new QuarantineObservation.Crashed(POISON, "b", 40, 10)));

        assertThat(state.status(300, POISON)).isInstanceOf(QuarantineStatus.Quarantined.class);
    }

    @Test
    void peers_are_told_own_observations_only() {
        QuarantineState state = initial.withCrash(100, POISON, "a", 50)
                .withPeer(100, "peer", List.of(new QuarantineObservation.Crashed(OTHER, "b", 40, 10)));

        assertThat(state.observations(150)).containsExactly(new QuarantineObservation.Crashed(POISON, "a", 50, 50));
    }

    @Test
    void concurrent_copies_of_a_request_are_blamed_once() {
        QuarantineState state = initial.withCrash(1_000, POISON, "a", 0).withCrash(1_500, POISON, "b", 0);

        assertThat(state.status(1_500, POISON)).isEqualTo(QuarantineStatus.Suspect.INSTANCE);
    }

    @Test
    void no_request_is_blamed_when_many_servers_crash_together() {
        QuarantineState state = initial.withCrash(1_000, POISON, "a", 0)
                .withCrash(1_200, OTHER, "b", 0)
                .withCrash(1_400, RequestFingerprint.of("c", "/chat", "c"), "c", 0);

        assertThat(state.status(1_400, POISON)).isEqualTo(QuarantineStatus.Clear.INSTANCE);
        assertThat(state.status(1_400, OTHER)).isEqualTo(QuarantineStatus.Clear.INSTANCE);
    }

    @Test
    void a_request_with_successive_crashes_is_blamed_although_many_servers_crash_together() {
        QuarantineState state = initial.withCrash(1_000, POISON, "a", 900)
                .withCrash(1_200, POISON, "b", 1_100)
                .withCrash(1_400, OTHER, "c", 0);

        assertThat(state.status(1_400, POISON)).isInstanceOf(QuarantineStatus.Quarantined.class);
        assertThat(state.status(1_400, OTHER)).isEqualTo(QuarantineStatus.Clear.INSTANCE);
    }

    @Test
    void a_suspect_starts_only_on_a_server_without_another_suspect_and_not_on_the_last_healthy_one() {
        RunId run = new RunId(OTHER, "attempt");
        QuarantineState state = initial.withCrash(100, POISON, "a", 50)
                .withRun(run, "b")
                .withPeer(200, "peer", List.of(new QuarantineObservation.Running(OTHER, "c")));

        assertThat(state.mayStart(200, POISON, "b", 3)).isFalse();
        assertThat(state.mayStart(200, POISON, "c", 3)).isFalse();
        assertThat(state.mayStart(200, POISON, "d", 3)).isTrue();
        assertThat(state.mayStart(200, POISON, "d", 1)).isFalse();
        assertThat(state.mayStart(200, OTHER, "d", 1)).isTrue();
        assertThat(state.withoutRun(run).mayStart(200, POISON, "b", 3)).isTrue();
        assertThat(state.mayStart(2_201, POISON, "c", 3)).isTrue();
    }

    @Test
    void every_request_may_run_when_disabled() {
        Quarantine disabled = Quarantine.Disabled.INSTANCE;
        disabled.crashed(100, POISON, "a", 50);
        disabled.crashed(200, POISON, "b", 150);

        assertThat(disabled.status(200, POISON)).isEqualTo(QuarantineStatus.Clear.INSTANCE);
        assertThat(disabled.mayStart(200, POISON, "c", 1)).isTrue();
    }

    @Test
    void two_suspects_that_shared_a_crashed_server_are_not_quarantined_until_one_more_crash() {
        QuarantineState sharedCrash = initial.withCrash(100, POISON, "a", 50)
                .withCrash(200, POISON, "b", 150)
                .withPeer(
                        210,
                        "peer",
                        List.of(
                                new QuarantineObservation.Crashed(OTHER, "a", 50, 110),
                                new QuarantineObservation.Crashed(OTHER, "b", 50, 10)));

        assertThat(sharedCrash.status(210, POISON)).isEqualTo(QuarantineStatus.Suspect.INSTANCE);
        assertThat(sharedCrash.status(210, OTHER)).isEqualTo(QuarantineStatus.Suspect.INSTANCE);
        QuarantineState later = sharedCrash.withCrash(400, POISON, "c", 350);
        assertThat(later.status(400, POISON)).isInstanceOf(QuarantineStatus.Quarantined.class);
        assertThat(later.status(400, OTHER)).isEqualTo(QuarantineStatus.Suspect.INSTANCE);
    }
}
