package org.cranberrygauge.proxy.routing;

import static org.assertj.core.api.Assertions.assertThat;

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
        assertThat(profiles.snapshot()).isEmpty();
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
    void manyShortPromptsGetMoreEnginesThanTheInitialMix() {
        double initial = profiles.shortEngineFraction("engines", PeerLoads.NO_PEERS);
        for (int request = 0; request < 1_000; request++) {
            profiles.recordSent("engines", ProxyFixtures.shortPrompt("session"), 1_400);
        }
        assertThat(profiles.shortEngineFraction("engines", PeerLoads.NO_PEERS)).isGreaterThan(initial * 2);
    }

    private void recordFirstEvent(String pool, int request, double tokensPerMilli) {
        Prompt prompt = request % 2 == 0
                ? ProxyFixtures.longPrompt("document-" + request)
                : ProxyFixtures.shortPrompt("session-" + request);
        Placement placement = new BackendLoad(MEMORY).place(prompt, Work.NONE);
        profiles.recordFirstEvent(pool, placement, (long) (50 + prompt.inputTokens() / tokensPerMilli));
    }
}
