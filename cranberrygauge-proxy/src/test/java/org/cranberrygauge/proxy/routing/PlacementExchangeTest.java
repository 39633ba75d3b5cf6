package org.cranberrygauge.proxy.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.cranberrygauge.proxy.ProxyFixtures;
import org.junit.jupiter.api.Test;

class PlacementExchangeTest {

    private final PlacementExchange exchange = new PlacementExchange();

    @Test
    void reportsLongSharedPartsForALimitedTime() {
        exchange.record(1_000, "engine/1", ProxyFixtures.longPrompt("document"));
        exchange.record(1_000, "engine/1", ProxyFixtures.shortPrompt("session"));
        assertThat(exchange.recent(1_600))
                .containsExactly(new PlacedPart("engine/1", new PromptPart("document", 13_300)));
        assertThat(exchange.recent(1_601)).isEmpty();
    }

    @Test
    void receivedPlacementsCountForKnownEngines() {
        LoadTable loads = new LoadTable();
        loads.of("engine/1", 500_000);
        exchange.receive(new PlacedPart("engine/1", new PromptPart("document", 13_300)));
        exchange.receive(new PlacedPart("unknown/1", new PromptPart("document", 13_300)));
        exchange.applyTo(loads);
        assertThat(loads.of("engine/1", 500_000).uncachedSharedTokens(ProxyFixtures.longPrompt("document")))
                .isZero();
    }
}
