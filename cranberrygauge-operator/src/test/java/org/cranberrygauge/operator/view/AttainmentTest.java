package org.cranberrygauge.operator.view;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.cranberrygauge.model.configuration.Configuration;
import org.cranberrygauge.model.service.ServiceClass;
import org.junit.jupiter.api.Test;

class AttainmentTest {

    private final Configuration configuration = Configuration.empty()
            .withClasses(List.of(
                    new ServiceClass("chat", 1, 0.5, 1_400, 31, 5_000, 100),
                    new ServiceClass("lookup", 0, 0.1, 300, 31, 5_000, 100)));

    @Test
    void only_requests_in_buckets_that_end_within_the_target_count_as_in_time() {
        String text = bucket("first_token", "chat", "parks", "1.0", 3)
                + bucket("first_token", "chat", "parks", "1.4", 6)
                + bucket("first_token", "chat", "parks", "2.5", 9)
                + bucket("first_token", "chat", "parks", "+Inf", 10);
        Attainment attainment = Attainment.of(configuration, List.of(text, text));
        assertThat(attainment.ofClass("chat")).isEqualTo(new Attainment.Counts(12, 20));
        assertThat(attainment.ofClass("chat").percent()).isEqualTo(60);
    }

    @Test
    void classes_without_first_tokens_are_measured_by_whole_requests() {
        String text = bucket("request", "lookup", "divers", "0.25", 4)
                + bucket("request", "lookup", "divers", "0.5", 5)
                + bucket("request", "lookup", "divers", "+Inf", 5);
        Attainment attainment = Attainment.of(configuration, List.of(text));
        assertThat(attainment.ofClass("lookup")).isEqualTo(new Attainment.Counts(4, 5));
        assertThat(attainment.byCustomer()).containsOnlyKeys("divers");
    }

    @Test
    void no_customer_is_listed_without_metrics() {
        assertThat(Attainment.of(configuration, List.of()).byCustomer()).isEmpty();
    }

    private static String bucket(String histogram, String className, String customer, String bound, int count) {
        return "cranberrygauge_" + histogram + "_seconds_bucket{class=\"" + className + "\",customer=\"" + customer
                + "\",le=\"" + bound + "\"} " + count + "\n";
    }
}
