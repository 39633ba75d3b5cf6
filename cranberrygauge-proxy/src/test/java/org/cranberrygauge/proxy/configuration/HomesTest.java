package org.cranberrygauge.proxy.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against requests that leave the regions of their route and customer (rule HOME). */
class HomesTest {

    private static final Map<String, String> REGIONS = Map.of("east-a", "east", "west-a", "west");

    @Test
    void withoutRegionsAnyDataCentreIsAllowed() {
        assertThat(Homes.of(Set.of(), Set.of()).allows("nowhere", REGIONS)).isTrue();
    }

    @Test
    void theRegionsOfTheRouteOrOfTheCustomerBind() {
        assertThat(Homes.of(Set.of("east"), Set.of()).allows("west-a", REGIONS)).isFalse();
        assertThat(Homes.of(Set.of(), Set.of("west")).allows("west-a", REGIONS)).isTrue();
    }

    @Test
    void whereBothNameRegionsBothBind() {
        Homes homes = Homes.of(Set.of("east", "west"), Set.of("west"));
        assertThat(homes.allows("east-a", REGIONS)).isFalse();
        assertThat(homes.allows("west-a", REGIONS)).isTrue();
    }

    @Test
    void aDataCentreOfUnknownRegionIsNotAllowed() {
        assertThat(Homes.of(Set.of("east"), Set.of()).allows("new", REGIONS)).isFalse();
    }

    @Test
    void aRouteAndACustomerWithoutACommonRegionAllowNone() {
        assertThat(Homes.of(Set.of("east"), Set.of("west")).isNowhere()).isTrue();
        assertThat(Homes.ANYWHERE.isNowhere()).isFalse();
    }
}
