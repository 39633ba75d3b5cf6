package org.cranberrygauge.proxy.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.cranberrygauge.proxy.ProxyFixtures;
import org.cranberrygauge.proxy.routing.BackendLoad.Placement;
import org.cranberrygauge.proxy.routing.PeerLoads.Work;
import org.junit.jupiter.api.Test;

class BackendLoadTest {

    private final BackendLoad load = new BackendLoad(100_000);

    @Test
    void releasesTheLoadOfARequestExactlyOnce() {
        Placement placement = load.place(ProxyFixtures.longPrompt("d"), Work.NONE);
        assertThat(load.work()).isEqualTo(new Work(1, 17_000, 17_120, 0));
        placement.started();
        placement.started();
        assertThat(load.work().unreadTokens()).isZero();
        placement.end();
        placement.end();
        assertThat(load.work()).isEqualTo(Work.NONE);
    }

    @Test
    void countsOnlyUncachedTokensOfAPromptWithACachedPrefix() {
        load.place(new Prompt(17_000, 0, List.of(new PromptPart("d", 13_300), new PromptPart("x", 3_700))), Work.NONE)
                .end();
        Prompt next = new Prompt(17_000, 0, List.of(new PromptPart("d", 13_300), new PromptPart("y", 3_700)));
        assertThat(load.uncachedTokens(next)).isEqualTo(3_700);
        assertThat(load.uncachedSharedTokens(next)).isZero();
    }

    @Test
    void evictsTheLeastRecentlyUsedPartWhenTheCacheIsFull() {
        for (int document = 0; document < 6; document++) {
            load.addCachedPart(new PromptPart("document-" + document, 13_300));
        }
        assertThat(load.uncachedSharedTokens(ProxyFixtures.longPrompt("document-0")))
                .isEqualTo(13_300);
        assertThat(load.uncachedSharedTokens(ProxyFixtures.longPrompt("document-5")))
                .isZero();
    }

    @Test
    void coolsDownLongerWhenItCannotBeReached() {
        load.recordFailure(0, false);
        assertThat(load.isCoolingDown(1_499)).isTrue();
        assertThat(load.isCoolingDown(1_500)).isFalse();
    }

    @Test
    void cooldownGrowsWithConsecutiveFailuresAndASuccessResetsIt() {
        load.recordFailure(0, true);
        assertThat(load.isCoolingDown(299)).isTrue();
        assertThat(load.isCoolingDown(300)).isFalse();
        load.recordFailure(1_000, true);
        assertThat(load.isCoolingDown(1_599)).isTrue();
        load.recordSuccess();
        load.recordFailure(5_000, true);
        assertThat(load.isCoolingDown(5_300)).isFalse();
    }
}
