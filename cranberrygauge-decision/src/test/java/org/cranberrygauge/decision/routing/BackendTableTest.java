package org.cranberrygauge.decision.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.cranberrygauge.decision.share.SlotDivision;
import org.cranberrygauge.decision.share.SlotDivision.GatewayDemand;
import org.cranberrygauge.model.backend.BackendKind;
import org.cranberrygauge.model.backend.BackendServer;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.model.backend.Supply;
import org.junit.jupiter.api.Test;

class BackendTableTest {

    @Test
    void a_server_is_a_candidate_while_it_has_a_slot_that_peers_do_not_use() {
        BackendTable table = table(OutlierDetection.PEERS, 1);
        table.exchange(Map.of("engine-0", 2), GatewayDemand.alone());
        assertThat(table.candidates("model").size()).isEqualTo(1);
        table.started("engine-0");
        table.started("engine-0");
        assertThat(table.candidates("model").size()).isZero();
        table.ended("engine-0");
        assertThat(table.candidates("model").size()).isEqualTo(1);
    }

    @Test
    void a_failed_server_gets_no_work_for_a_second() {
        BackendTable table = table(OutlierDetection.PEERS, 2);
        table.failed(0, "engine-1");
        table.refresh(999);
        assertThat(table.candidates("model").find("engine-1")).isNull();
        table.refresh(1_000);
        assertThat(table.candidates("model").find("engine-1")).isNotNull();
    }

    @Test
    void a_server_slower_than_its_peers_is_ejected_and_readmitted_gradually() {
        BackendTable table = table(OutlierDetection.PEERS, 8);
        measure(table, 30);
        assertThat(table.compare(0)).extracting(BackendTable.Ejection::ejected).containsExactly(true);
        assertThat(table.candidates("model").find("engine-0")).isNull();

        assertThat(table.compare(5_000)).isEmpty();
        assertThat(table.candidates("model").find("engine-0").ownLimit()).isEqualTo(1);
        measure(table, 10);
        table.compare(6_000);
        assertThat(table.candidates("model").find("engine-0").ownLimit()).isEqualTo(2);
    }

    @Test
    void without_outlier_detection_a_slow_server_keeps_getting_work() {
        BackendTable table = table(OutlierDetection.DISABLED, 8);
        measure(table, 30);
        assertThat(table.compare(0)).isEmpty();
        assertThat(table.candidates("model").find("engine-0")).isNotNull();
    }

    @Test
    void no_more_than_a_quarter_of_the_servers_is_ejected_at_once() {
        BackendTable table = table(OutlierDetection.PEERS, 8);
        for (int index = 0; index < 8; index++) {
            for (int count = 0; count < 5; count++) {
                table.measured(0, "engine-" + index, index < 4 ? 50 : 10);
            }
        }
        table.compare(0);
        assertThat(table.candidates("model").size()).isGreaterThanOrEqualTo(6);
    }

    @Test
    void a_prompt_goes_to_the_server_that_has_processed_its_prefix() {
        RoutingPolicy routing = new PredictedFirstToken(new PrefixAffinity.Recent(10));
        assertThat(differentServers(routing)).isEqualTo(1);
    }

    @Test
    void without_prefix_affinity_prompts_with_the_same_prefix_are_spread() {
        RoutingPolicy routing = new PredictedFirstToken(PrefixAffinity.Disabled.INSTANCE);
        assertThat(differentServers(routing)).isGreaterThan(1);
    }

    private static long differentServers(RoutingPolicy routing) {
        BackendTable table = table(OutlierDetection.PEERS, 8);
        Random random = new Random(3);
        RoutingRequest request = new RoutingRequest("model", "prefix", 4_000);
        List<String> servers = new ArrayList<>();
        for (int count = 0; count < 10; count++) {
            servers.add(routing.choose(count, request, table.candidates("model"), random)
                    .orElseThrow()
                    .server()
                    .name());
        }
        return servers.stream().distinct().count();
    }

    private static void measure(BackendTable table, double firstServerMillis) {
        for (int count = 0; count < 5; count++) {
            table.measured(0, "engine-0", firstServerMillis);
            for (int index = 1; index < 8; index++) {
                table.measured(0, "engine-" + index, 10);
            }
        }
    }

    private static BackendTable table(OutlierDetection rule, int servers) {
        BackendTable table = new BackendTable(SlotDivision.ExchangedCounts.INSTANCE, rule);
        List<BackendServer> list = new ArrayList<>();
        for (int index = 0; index < servers; index++) {
            list.add(new BackendServer(
                    "engine-" + index,
                    new NetworkAddress("127.0.0.1", 1),
                    "centre",
                    BackendKind.MODEL,
                    Set.of("model"),
                    Supply.REGULAR,
                    4,
                    true));
        }
        table.configure(list);
        return table;
    }
}
