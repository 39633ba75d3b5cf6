package org.cranberrygauge.decision.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Many hosts each see a small sample of the same chats and long prompts, and one has just restarted. Engines that some
 * hosts reserve for short prompts and others use for long ones serve chats late. The division by the work of all hosts is
 * compared with that by each host's own.
 */
class ManyHostsPatternTest {

    private static final int HOSTS = 35;

    private static final int ENGINES = 63;

    private static final int REQUESTS_PER_HOST = 400;

    private static final double CHAT_SHARE = 0.43;

    private static final double CHAT_TOKENS = 1_100;

    private static final double LONG_TOKENS = 3_500;

    private final SplittableRandom random = new SplittableRandom(7);

    @Test
    void hostsThatShareTheirWorkReserveTheSameEnginesForShortPrompts() {
        List<PrefillMix> mixes = mixes();
        assertThat(spread(mixes, false)).isGreaterThan(5);
        assertThat(spread(mixes, true)).isZero();
    }

    @Test
    void aHostWhoseLastReportIsOldReservesNearlyTheSameEngines() {
        List<PrefillMix> mixes = mixes();
        int before = engines(total(mixes));
        recordRequests(mixes.get(0), 20);
        assertThat(Math.abs(engines(total(mixes)) - before)).isLessThanOrEqualTo(1);
    }

    private List<PrefillMix> mixes() {
        List<PrefillMix> mixes = new ArrayList<>();
        for (int host = 0; host < HOSTS; host++) {
            PrefillMix mix = new PrefillMix();
            recordRequests(mix, host == 0 ? 0 : REQUESTS_PER_HOST);
            mixes.add(mix);
        }
        return mixes;
    }

    private void recordRequests(PrefillMix mix, int count) {
        for (int request = 0; request < count; request++) {
            boolean isChat = random.nextDouble() < CHAT_SHARE;
            mix.record(isChat, (isChat ? CHAT_TOKENS : LONG_TOKENS) * -Math.log(1 - random.nextDouble()));
        }
    }

    /** Returns the number of engines that only a part of the hosts reserves for short prompts. */
    private static int spread(List<PrefillMix> mixes, boolean shared) {
        PrefillTokens total = total(mixes);
        int least = ENGINES;
        int most = 0;
        for (PrefillMix mix : mixes) {
            int engines = engines(shared ? total : mix.tokens());
            least = Math.min(least, engines);
            most = Math.max(most, engines);
        }
        return most - least;
    }

    private static PrefillTokens total(List<PrefillMix> mixes) {
        return mixes.stream().map(PrefillMix::tokens).reduce(PrefillTokens.NONE, PrefillTokens::plus);
    }

    private static int engines(PrefillTokens tokens) {
        return (int) Math.ceil(ENGINES * tokens.shortEngineFraction());
    }
}
