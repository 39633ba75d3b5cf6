package org.cranberrygauge.decision.edit;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.Set;
import org.cranberrygauge.decision.edit.ConfigurationEdit.Mode;
import org.cranberrygauge.model.configuration.Configuration;
import org.cranberrygauge.model.customer.Customer;
import org.cranberrygauge.model.customer.CustomerKey;
import org.cranberrygauge.model.customer.KeyDigest;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.model.service.ServiceClass;
import org.junit.jupiter.api.Test;

class ConfigurationEditTest {

    private static final CustomerKey KEY = new CustomerKey("first", KeyDigest.of("cg-first"));

    private final Configuration before = Configuration.empty()
            .withClasses(List.of(new ServiceClass("chat", 1, 0.5, 1_000, 31, 5_000, 100)))
            .withCustomers(List.of(new Customer("clubs", 1, List.of(KEY), Set.of("chat"))));

    @Test
    void a_withdrawn_key_is_gone_and_all_else_stays() throws CranberrygaugeException {
        CustomerKey second = new CustomerKey("second", KeyDigest.of("cg-second"));
        Configuration added = new ConfigurationEdit.PutKey(Mode.ADD, "clubs", second).apply(before);
        Configuration removed = new ConfigurationEdit.RemoveKey("clubs", "first").apply(added);
        assertThat(removed.customer("clubs").orElseThrow().keys()).containsExactly(second);
        assertThat(removed.classes()).isEqualTo(before.classes());
    }

    @Test
    void a_change_keeps_the_position_in_the_list() throws CranberrygaugeException {
        ServiceClass study = new ServiceClass("study", 3, 0.1, 1_000, 31, 5_000, 100);
        Configuration two = new ConfigurationEdit.PutClass(Mode.ADD, study).apply(before);
        ServiceClass faster = new ServiceClass("chat", 1, 0.5, 500, 31, 5_000, 100);
        assertThat(new ConfigurationEdit.PutClass(Mode.CHANGE, faster)
                        .apply(two)
                        .classes())
                .containsExactly(faster, study);
    }

    @Test
    void adding_an_existing_part_is_refused() {
        ConfigurationEdit edit = new ConfigurationEdit.PutKey(Mode.ADD, "clubs", KEY);
        assertThatThrownBy(() -> edit.apply(before)).hasMessageContaining("key \"first\" is there already");
    }

    @Test
    void changing_or_removing_a_missing_part_is_refused() {
        ConfigurationEdit change =
                new ConfigurationEdit.PutCustomer(Mode.CHANGE, new Customer("nobody", 1, List.of(), Set.of()));
        assertThatThrownBy(() -> change.apply(before)).hasMessageContaining("\"nobody\" is not in force");
        assertThatThrownBy(() -> new ConfigurationEdit.RemoveCleaningWindow("a").apply(before))
                .hasMessageContaining("nothing was changed");
        assertThatThrownBy(() -> new ConfigurationEdit.RemoveKey("nobody", "first").apply(before))
                .isInstanceOf(CranberrygaugeException.class);
    }
}
