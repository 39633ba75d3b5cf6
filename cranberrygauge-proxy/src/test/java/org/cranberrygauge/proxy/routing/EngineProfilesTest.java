package org.cranberrygauge.proxy.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.cranberrygauge.decision.engine.EngineEstimate;
import org.cranberrygauge.decision.engine.EngineProfile;
import org.cranberrygauge.proxy.ProxyFixtures;
import org.cranberrygauge.proxy.routing.BackendLoad.Placement;
import org.cranberrygauge.proxy.routing.PeerLoads.Work;
import org.junit.jupiter.api.Test;

class EngineProfilesTest {

    private static final long MEMORY = 500_000;

    private final EngineProfiles profiles = new EngineProfiles();

    @Test
    void aPoolWithoutRequestsHasTheInitialProfile() {
        assertThat(profiles.of("engines")).isEqualTo(EngineProfile.INITIAL);
        assertThat(profiles.snapshot(0)).isEmpty();
    }

    @Test
    void poolsWithFasterEnginesAreToldApart() {
        for (int request = 0; request < 200; request++) {
            recordFirstEvent("fast", request, 100);
            recordFirstEvent("slow", request, 10);
        }
        assertThat(profiles.of("fast").tokensPerMilli())
                .isGreaterThan(profiles.of("slow").tokensPerMilli() * 3);
    }

    @Test
    void tokensOfOtherHostsThatAreAheadCountTowardsTheTimeToTheFirstEvent() {
        Placement placement =
                new BackendLoad(MEMORY).place(ProxyFixtures.longPrompt("document"), new Work(3, 20_000, 30_000, 0));
        assertThat(placement.tokensToFirstEvent()).isEqualTo(37_000);
    }

    @Test
    void thePromptsThatAHostSendsKeepEnginesBusy() {
        for (long now = 0; now < 10_000; now += 100) {
            profiles.recordSent(now, "engines", ProxyFixtures.longPrompt("document"), 3_700);
        }
        EngineEstimate estimate = profiles.snapshot(10_000).get("engines");
        assertThat(estimate.prefillDemand()).isBetween(1.0, 3.0);
        assertThat(profiles.snapshot(60_000).get("engines").prefillDemand()).isLessThan(0.01);
    }

    private void recordFirstEvent(String pool, int request, double tokensPerMilli) {
        Prompt prompt = request % 2 == 0
                ? ProxyFixtures.longPrompt("document-" + request)
                : ProxyFixtures.shortPrompt("session-" + request);
        Placement placement = new BackendLoad(MEMORY).place(prompt, Work.NONE);
        profiles.recordFirstEvent(pool, placement, (long) (50 + prompt.inputTokens() / tokensPerMilli));
    }
}
