package org.cranberrygauge.operator.plan;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.cranberrygauge.model.configuration.Configuration;
import org.cranberrygauge.model.customer.Customer;
import org.cranberrygauge.model.customer.CustomerKey;
import org.cranberrygauge.model.customer.KeyDigest;
import org.cranberrygauge.model.service.ServiceClass;
import org.junit.jupiter.api.Test;

class ConfigurationDifferencesTest {

    private static final ServiceClass CHAT = new ServiceClass("chat", 1, 0.5, 1_000, 31, 5_000, 100);

    private final Configuration before =
            Configuration.empty().withClasses(List.of(CHAT)).withCustomers(List.of(customer("cg-old")));

    @Test
    void equal_configurations_have_no_differences() {
        assertThat(ConfigurationDifferences.between(before, before)).isEmpty();
    }

    @Test
    void added_changed_and_removed_items_are_listed_by_name() {
        Configuration after = before.withClasses(List.of(
                        new ServiceClass("chat", 2, 0.5, 900, 31, 5_000, 100),
                        new ServiceClass("study", 3, 0.1, 1, 1, 1, 1)))
                .withCustomers(List.of());
        assertThat(ConfigurationDifferences.between(before, after))
                .extracting(Difference::line)
                .containsExactly(
                        "~ class chat: tier 1 -> 2, firstTokenTargetMillis 1000 -> 900",
                        "+ class study",
                        "- customer clubs");
    }

    @Test
    void a_replaced_key_is_shown_by_name_and_never_by_digest() {
        Configuration after = before.withCustomers(List.of(customer("cg-new")));
        assertThat(ConfigurationDifferences.between(before, after))
                .extracting(Difference::line)
                .containsExactly("~ customer clubs: keys [first] replaced")
                .noneMatch(line -> line.contains(KeyDigest.of("cg-new").hexadecimal()));
    }

    private static Customer customer(String key) {
        return new Customer("clubs", 1, List.of(new CustomerKey("first", KeyDigest.of(key))), Set.of("chat"));
    }
}
