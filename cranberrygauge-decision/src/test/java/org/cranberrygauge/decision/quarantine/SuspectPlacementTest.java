package org.cranberrygauge.decision.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class SuspectPlacementTest {

    private static final List<String> GATEWAYS = List.of("host-1", "host-2", "host-3", "host-4");

    @Test
    void each_server_is_assigned_to_one_gateway_at_first() {
        IntStream.range(0, 100)
                .mapToObj(number -> "engine-" + number)
                .forEach(server -> assertThat(GATEWAYS.stream()
                                .filter(gateway -> SuspectPlacement.mayStart(0, gateway, GATEWAYS, server)))
                        .hasSize(1));
    }

    @Test
    void each_server_is_open_to_all_gateways_later() {
        assertThat(GATEWAYS).allMatch(gateway -> SuspectPlacement.mayStart(500, gateway, GATEWAYS, "engine"));
    }

    @Test
    void all_servers_are_assigned_to_a_single_gateway() {
        assertThat(SuspectPlacement.mayStart(0, "host-1", List.of("host-1"), "engine"))
                .isTrue();
    }
}
