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
    void givesBackWhatARequestAddedExactlyOnce() {
        Placement placement = load.place(ProxyFixtures.study("d"));
        assertThat(load.work()).isEqualTo(new Work(1, 17_000, 17_120, 0));
        placement.started();
        placement.started();
        assertThat(load.work().unreadTokens()).isZero();
        placement.end();
        placement.end();
        assertThat(load.work()).isEqualTo(Work.NONE);
    }

    @Test
    void countsOnlyTheUncachedPartOfAPromptReadBefore() {
        load.place(new Prompt(17_000, 0, List.of(new PromptPart("d", 13_300), new PromptPart("x", 3_700))))
                .end();
        Prompt next = new Prompt(17_000, 0, List.of(new PromptPart("d", 13_300), new PromptPart("y", 3_700)));
        assertThat(load.uncachedTokens(next)).isEqualTo(3_700);
        assertThat(load.uncachedSharedTokens(next)).isZero();
    }

    @Test
    void forgetsTheLeastRecentlyUsedPartWhenMemoryIsFull() {
        for (int document = 0; document < 6; document++) {
            load.notePart(new PromptPart("document-" + document, 13_300));
        }
        assertThat(load.uncachedSharedTokens(ProxyFixtures.study("document-0"))).isEqualTo(13_300);
        assertThat(load.uncachedSharedTokens(ProxyFixtures.study("document-5"))).isZero();
    }

    @Test
    void isAvoidedUntilItsEntryLapsesWhenItCannotBeReached() {
        load.noteFailure(0, false);
        assertThat(load.avoided(1_499)).isTrue();
        assertThat(load.avoided(1_500)).isFalse();
    }

    @Test
    void isAvoidedLongerAfterMoreFailuresInARowAndNotAfterASuccess() {
        load.noteFailure(0, true);
        assertThat(load.avoided(299)).isTrue();
        assertThat(load.avoided(300)).isFalse();
        load.noteFailure(1_000, true);
        assertThat(load.avoided(1_599)).isTrue();
        load.noteSuccess();
        load.noteFailure(5_000, true);
        assertThat(load.avoided(5_300)).isFalse();
    }
}
