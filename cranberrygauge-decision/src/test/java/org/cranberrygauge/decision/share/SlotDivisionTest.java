package org.cranberrygauge.decision.share;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.cranberrygauge.decision.share.SlotDivision.GatewayDemand;

class SlotDivisionTest {

    @Property(tries = 500, seed = "11")
    void the_shares_of_all_gateways_add_up_to_all_slots(
            @ForAll @Size(min = 1, max = 8) List<@DoubleRange(min = 0, max = 1_000) Double> demands,
            @ForAll @IntRange(min = 1, max = 64) int slots,
            @ForAll @DoubleRange(min = 0, max = 0.99) double roundingOffset) {
        TreeMap<String, Double> byName = new TreeMap<>();
        for (int index = 0; index < demands.size(); index++) {
            byName.put("gateway-" + index, demands.get(index));
        }
        int total = 0;
        for (String name : byName.keySet()) {
            total += SlotDivision.DemandShare.INSTANCE.ownLimit(
                    slots, 0, slots, GatewayDemand.of(name, byName), roundingOffset);
        }
        assertThat(total).isEqualTo(slots);
    }
}
