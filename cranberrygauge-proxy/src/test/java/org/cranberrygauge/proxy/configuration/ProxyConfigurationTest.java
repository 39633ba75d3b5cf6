package org.cranberrygauge.proxy.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.cranberrygauge.proxy.ProxyFixtures;
import org.junit.jupiter.api.Test;

class ProxyConfigurationTest {

    private final ProxyConfiguration configuration = ProxyFixtures.configuration(
            7,
            ProxyFixtures.route("/a/", RouteKind.IDEMPOTENT, 1, false),
            ProxyFixtures.route("/a/b/", RouteKind.STREAM, 1, true));

    @Test
    void theLongestPrefixWins() {
        assertThat(configuration.route("api.example", "/a/b/c").map(Route::pathPrefix))
                .contains("/a/b/");
        assertThat(configuration.route("api.example", "/a/bc").map(Route::pathPrefix))
                .contains("/a/");
    }

    @Test
    void aPrefixMatchesOnlyWholeSegments() {
        assertThat(configuration.route("api.example", "/a")).isEmpty();
        assertThat(configuration.route("api.example", "/ab/c")).isEmpty();
    }

    @Test
    void theHostIsComparedWithoutPortAndCase() {
        assertThat(configuration.route("API.example:8080", "/a/x")).isPresent();
        assertThat(configuration.route("other.example", "/a/x")).isEmpty();
    }

    @Test
    void anOpenRouteNeedsNoKey() {
        assertThat(configuration.needsKey(
                        configuration.route("api.example", "/a/b/c").orElseThrow()))
                .isFalse();
        assertThat(configuration.needsKey(
                        configuration.route("api.example", "/a/x").orElseThrow()))
                .isTrue();
    }

    @Test
    void requestsAreSplitByWeight() {
        Route split = new Route(
                "split",
                "api.example",
                "/",
                RouteKind.IDEMPOTENT,
                1,
                1,
                0,
                List.of(new WeightedPool("old", 90), new WeightedPool("new", 10), new WeightedPool("none", 0)),
                1,
                true,
                Set.of());
        int[] counts = new int[2];
        for (int hash = 0; hash < 1_000; hash++) {
            counts[split.poolFor(hash).equals("old") ? 0 : 1]++;
            assertThat(split.poolFor(hash)).isNotEqualTo("none");
        }
        assertThat(counts).containsExactly(900, 100);
    }
}
