package org.cranberrygauge.decision.engine;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * The provider reclaims most engines of a pool at once, so that requests pile up on the others. The demand for engines
 * is compared with one that counts the tokens of running requests.
 */
class LossOfCheapServersPatternTest {

    private static final EngineProfile PROFILE = new EngineProfile(60, 50, 1_500);

    private static final int SLOTS = 64;

    /** The prompt tokens of one request, and the time between two requests. */
    private static final double PROMPT_TOKENS = 10_000;

    private static final int INTERVAL_MILLIS = 25;

    private static final int TICK_MILLIS = 500;

    private static final int LOSS_MILLIS = 10_000;

    private static final int END_MILLIS = 18_000;

    @Test
    void theDemandStaysWhileRequestsPileUpOnTheEnginesThatAreLeft() {
        PrefillRate rate = new PrefillRate();
        EngineDemand byArrivals = new EngineDemand();
        EngineDemand byTokensInFlight = new EngineDemand();
        double before = 0;
        double backlog = 0;
        for (int now = 0; now < END_MILLIS; now++) {
            if (now % INTERVAL_MILLIS == 0) {
                rate.record(now, PROMPT_TOKENS);
                backlog += PROMPT_TOKENS;
            }
            int engines = now < LOSS_MILLIS ? 14 : 5;
            backlog = Math.max(0, backlog - engines * PROFILE.tokensPerMilli());
            if (now % TICK_MILLIS == 0) {
                double decoding = PROMPT_TOKENS / INTERVAL_MILLIS * PROFILE.residenceMillis();
                byArrivals.update(PROFILE.enginesFor(rate.tokensPerMilli(now)), 0, SLOTS);
                byTokensInFlight.update((backlog + decoding) / PROFILE.sustainableTokens(), 0, SLOTS);
                before = now < LOSS_MILLIS ? byArrivals.engines() : before;
            }
        }
        assertThat(byArrivals.engines()).isLessThan(before * 1.1);
        assertThat(byTokensInFlight.engines()).isGreaterThan(before * 1.5);
    }
}
