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
    void suspectsWhatRanOnACrashedServerAndHoldsItAfterTheSecondCrash() {
        QuarantineState once = initial.withCrash(100, POISON, "a", 50);
        QuarantineState twice = once.withCrash(200, POISON, "b", 150);

        assertThat(initial.standing(100, POISON)).isEqualTo(QuarantineStatus.Clear.INSTANCE);
        assertThat(once.standing(100, POISON)).isEqualTo(QuarantineStatus.Suspect.INSTANCE);
        assertThat(once.standing(100, OTHER)).isEqualTo(QuarantineStatus.Clear.INSTANCE);
        assertThat(twice.standing(200, POISON)).isEqualTo(new QuarantineStatus.Quarantined(10_000));
    }

    @Test
    void letsARequestRunAsASuspectAfterItsQuarantineAndForgetsItLater() {
        QuarantineState twice = initial.withCrash(100, POISON, "a", 50).withCrash(200, POISON, "b", 150);

        assertThat(twice.standing(10_199, POISON)).isEqualTo(new QuarantineStatus.Quarantined(1));
        assertThat(twice.standing(10_200, POISON)).isEqualTo(QuarantineStatus.Suspect.INSTANCE);
        assertThat(twice.standing(60_200, POISON)).isEqualTo(QuarantineStatus.Clear.INSTANCE);
    }

    @Test
    void holdsARequestAgainAfterOneMoreCrash() {
        QuarantineState again = initial.withCrash(100, POISON, "a", 50)
                .withCrash(200, POISON, "b", 150)
                .withCrash(11_000, POISON, "c", 10_900);

        assertThat(again.standing(11_000, POISON)).isInstanceOf(QuarantineStatus.Quarantined.class);
    }

    @Test
    void clearsASuspectByACompletedRunAtAnyGateway() {
        QuarantineState once = initial.withCrash(100, POISON, "a", 50);

        assertThat(once.withCompletion(300, POISON).standing(300, POISON)).isEqualTo(QuarantineStatus.Clear.INSTANCE);
        assertThat(once.withPeer(300, "peer", List.of(new QuarantineObservation.Cleared(POISON, 10)))
                        .standing(300, POISON))
                .isEqualTo(QuarantineStatus.Clear.INSTANCE);
    }

    @Test
    void addsUpTheCrashesThatPeersSaw() {
        QuarantineState state = initial.withCrash(100, POISON, "a", 50)
                .withPeer(300, "peer", List.of(new QuarantineObservation.Crashed(POISON, "b", 40, 10)));

        assertThat(state.standing(300, POISON)).isInstanceOf(QuarantineStatus.Quarantined.class);
    }

    @Test
    void tellsPeersWhatItSawAndNotWhatItHeard() {
        QuarantineState state = initial.withCrash(100, POISON, "a", 50)
                .withPeer(100, "peer", List.of(new QuarantineObservation.Crashed(OTHER, "b", 40, 10)));

        assertThat(state.observations(150)).containsExactly(new QuarantineObservation.Crashed(POISON, "a", 50, 50));
    }

    @Test
    void blamesCopiesThatRanSideBySideOnce() {
        QuarantineState state = initial.withCrash(1_000, POISON, "a", 0).withCrash(1_500, POISON, "b", 0);

        assertThat(state.standing(1_500, POISON)).isEqualTo(QuarantineStatus.Suspect.INSTANCE);
    }

    @Test
    void blamesNoRequestWhenManyServersGoTogether() {
        QuarantineState state = initial.withCrash(1_000, POISON, "a", 0)
                .withCrash(1_200, OTHER, "b", 0)
                .withCrash(1_400, RequestFingerprint.of("c", "/chat", "c"), "c", 0);

        assertThat(state.standing(1_400, POISON)).isEqualTo(QuarantineStatus.Clear.INSTANCE);
        assertThat(state.standing(1_400, OTHER)).isEqualTo(QuarantineStatus.Clear.INSTANCE);
    }

    @Test
    void blamesARequestThatWentFromOneCrashToTheNextThoughManyServersGoTogether() {
        QuarantineState state = initial.withCrash(1_000, POISON, "a", 900)
                .withCrash(1_200, POISON, "b", 1_100)
                .withCrash(1_400, OTHER, "c", 0);

        assertThat(state.standing(1_400, POISON)).isInstanceOf(QuarantineStatus.Quarantined.class);
        assertThat(state.standing(1_400, OTHER)).isEqualTo(QuarantineStatus.Clear.INSTANCE);
    }

    @Test
    void startsASuspectOnlyAloneAmongSuspectsAndNotOnTheLastHealthyServer() {
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
    void letsEverythingRunWhenDisabled() {
        Quarantine disabled = Quarantine.Disabled.INSTANCE;
        disabled.crashed(100, POISON, "a", 50);
        disabled.crashed(200, POISON, "b", 150);

        assertThat(disabled.standing(200, POISON)).isEqualTo(QuarantineStatus.Clear.INSTANCE);
        assertThat(disabled.mayStart(200, POISON, "c", 1)).isTrue();
    }

    @Test
    void holdsNoneOfTwoSuspectsThatMetOnACrashedServerUntilOneMoreCrash() {
        QuarantineState met = initial.withCrash(100, POISON, "a", 50)
                .withCrash(200, POISON, "b", 150)
                .withPeer(
                        210,
                        "peer",
                        List.of(
                                new QuarantineObservation.Crashed(OTHER, "a", 50, 110),
                                new QuarantineObservation.Crashed(OTHER, "b", 50, 10)));

        assertThat(met.standing(210, POISON)).isEqualTo(QuarantineStatus.Suspect.INSTANCE);
        assertThat(met.standing(210, OTHER)).isEqualTo(QuarantineStatus.Suspect.INSTANCE);
        QuarantineState later = met.withCrash(400, POISON, "c", 350);
        assertThat(later.standing(400, POISON)).isInstanceOf(QuarantineStatus.Quarantined.class);
        assertThat(later.standing(400, OTHER)).isEqualTo(QuarantineStatus.Suspect.INSTANCE);
    }
}
