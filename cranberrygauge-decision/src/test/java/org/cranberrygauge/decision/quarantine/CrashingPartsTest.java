package org.cranberrygauge.decision.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cranberrygauge.decision.quarantine.CrashingParts.PartCompletion;
import org.junit.jupiter.api.Test;

class CrashingPartsTest {

    private static final long FIRST = 1;

    private static final long CRASHING = 2;

    private static final long SOUND = 3;

    private static final long REQUEST = 4;

    private static final long SETTLED_MILLIS = 300;

    private final CrashingParts parts = new CrashingParts();

    @Test
    void blocksAPartThatRanOnThreeCrashedServersAndOnlyThatPart() {
        crash(1_000, FIRST, CRASHING, SOUND);
        crash(2_000, FIRST, CRASHING);
        assertThat(parts.update(2_000 + SETTLED_MILLIS)).isEmpty();
        crash(3_000, FIRST, CRASHING);
        assertThat(parts.update(3_000 + SETTLED_MILLIS)).containsExactly(CRASHING);
        assertThat(parts.isBlocked(() -> List.of(new SuspectPart(CRASHING, 1)))).isTrue();
        assertThat(parts.isBlocked(() -> List.of(new SuspectPart(SOUND, 1)))).isFalse();
    }

    @Test
    void waitsForTheOtherHostsBeforeItJudgesACrash() {
        crashThrice(CRASHING);
        assertThat(parts.update(3_000 + SETTLED_MILLIS - 1)).isEmpty();
    }

    @Test
    void countsOneServerOnceWhateverManyHostsSawIt() {
        for (int host = 0; host < 5; host++) {
            parts.recordCrash(new BackendCrash("server", 1_000 + 60L * host, Map.of(CRASHING, 1)));
        }
        assertThat(parts.update(2_000)).isEmpty();
    }

    @Test
    void countsServersThatCrashAtTheSameMomentOnce() {
        for (int server = 0; server < 6; server++) {
            crash(1_000 + 10L * server, FIRST, CRASHING);
        }
        assertThat(parts.update(2_000)).isEmpty();
    }

    @Test
    void doesNotBlameAPartThatCompletedSinceTheCrashes() {
        crashThrice(SOUND);
        parts.recordCompletion(new PartCompletion(SOUND, 3_100));
        assertThat(parts.update(4_000)).isEmpty();
    }

    @Test
    void doesNotBlameAPartThatCompletedBeforeThisHostLearnedOfTheCrashes() {
        parts.recordCompletion(new PartCompletion(SOUND, 3_100));
        crashThrice(SOUND);
        assertThat(parts.update(4_000)).isEmpty();
    }

    @Test
    void releasesAPartThatCompletes() {
        crashThrice(SOUND);
        assertThat(parts.update(4_000)).containsExactly(SOUND);
        parts.recordCompletion(4_100, List.of(new SuspectPart(SOUND, 1)));
        assertThat(parts.update(4_200)).isEmpty();
    }

    @Test
    void waitsWhileTwoPartsAccountForAsManyCrashes() {
        crash(1_000, CRASHING, SOUND);
        crash(2_000, CRASHING, SOUND);
        crash(3_000, CRASHING, SOUND);
        assertThat(parts.update(4_000)).isEmpty();
        crash(5_000, CRASHING);
        assertThat(parts.update(6_000)).containsExactly(CRASHING);
    }

    @Test
    void revisesItsJudgementWhenAnotherHostTellsWhatElseRanThere() {
        crashThrice(SOUND);
        assertThat(parts.update(4_000)).containsExactly(SOUND);
        for (int second = 1; second <= 3; second++) {
            parts.recordCrash(new BackendCrash("server-" + second + "000", 1_000L * second, Map.of(CRASHING, 1)));
        }
        crash(4_000, CRASHING);
        assertThat(parts.update(5_000)).containsExactly(CRASHING);
    }

    @Test
    void blamesTheFirstPartOnlyIfNoLaterOneAccountsForTheCrashes() {
        for (int crash = 1; crash <= 5; crash++) {
            crashWith(1_000L * crash, Map.of(FIRST, 0, 100L + crash, 1));
            assertThat(parts.update(1_000L * crash + SETTLED_MILLIS)).isEmpty();
        }
        crashWith(6_000, Map.of(FIRST, 0));
        assertThat(parts.update(6_000 + SETTLED_MILLIS)).containsExactly(FIRST);
    }

    @Test
    void blamesASecondPartForTheCrashesThatTheFirstDoesNotExplain() {
        crashThrice(CRASHING);
        crash(4_000, SOUND);
        crash(5_000, SOUND, CRASHING);
        crash(6_000, SOUND);
        assertThat(parts.update(7_000)).containsExactly(CRASHING);
        crash(8_000, SOUND);
        assertThat(parts.update(9_000)).containsExactlyInAnyOrder(CRASHING, SOUND);
    }

    @Test
    void releasesAPartAfterAWhileAndBlocksItAgainAtItsNextCrash() {
        crashThrice(CRASHING);
        assertThat(parts.update(123_000)).containsExactly(CRASHING);
        assertThat(parts.update(123_001)).isEmpty();
        crash(130_000, CRASHING);
        assertThat(parts.update(131_000)).containsExactly(CRASHING);
    }

    @Test
    void aHostThatReceivesTheCrashesOfBlockedPartsBlocksThemToo() {
        crashThrice(CRASHING);
        parts.update(4_000);
        CrashingParts other = new CrashingParts();
        parts.crashesOfBlockedParts().forEach(other::recordCrash);
        assertThat(other.update(4_000)).containsExactly(CRASHING);
    }

    @Test
    void blocksARequestThatCrashedThreeServersRatherThanThePartsOfItsPrompt() {
        Map<Long, Integer> request = Map.of(FIRST, 0, CRASHING, 1, REQUEST, SuspectPart.WHOLE_REQUEST);
        crashWith(1_000, request);
        crashWith(2_000, request);
        assertThat(parts.update(2_000 + SETTLED_MILLIS)).isEmpty();
        crashWith(3_000, request);
        assertThat(parts.update(3_000 + SETTLED_MILLIS)).containsExactly(REQUEST);
    }

    @Test
    void blocksThePartOnceAnotherRequestCrashesAServerByIt() {
        for (int second = 1; second <= 3; second++) {
            crashWith(1_000L * second, Map.of(FIRST, 0, CRASHING, 1, REQUEST, SuspectPart.WHOLE_REQUEST));
        }
        crashWith(4_000, Map.of(FIRST, 0, CRASHING, 1, REQUEST + 1, SuspectPart.WHOLE_REQUEST));
        assertThat(parts.update(4_000 + SETTLED_MILLIS)).containsExactly(CRASHING);
    }

    @Test
    void retainsABoundedNumberOfCrashes() {
        for (int crash = 0; crash < 2_000; crash++) {
            crash(100L * crash, SOUND + crash);
        }
        assertThat(parts.recentCrashes(200_000, Long.MAX_VALUE, Integer.MAX_VALUE))
                .hasSize(256);
    }

    @Test
    void forgetsCrashesThatNoPartAccountsFor() {
        crash(1_000, SOUND);
        parts.update(61_001);
        assertThat(parts.recentCrashes(61_001, Long.MAX_VALUE, 10)).isEmpty();
    }

    private void crashThrice(long part) {
        for (int second = 1; second <= 3; second++) {
            crash(1_000L * second, part);
        }
    }

    /** Records a crash with the first part at the first position and the others behind it. */
    private void crash(long atMillis, long... ran) {
        Map<Long, Integer> positions = new HashMap<>();
        for (long part : ran) {
            positions.put(part, part == FIRST ? 0 : 1);
        }
        crashWith(atMillis, positions);
    }

    private void crashWith(long atMillis, Map<Long, Integer> positions) {
        parts.recordCrash(new BackendCrash("server-" + atMillis, atMillis, positions));
    }
}
