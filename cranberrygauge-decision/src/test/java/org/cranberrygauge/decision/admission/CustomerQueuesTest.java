package org.cranberrygauge.decision.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class CustomerQueuesTest {

    @Property(tries = 200, seed = "7")
    void each_request_leaves_once_and_the_counts_are_consistent(
            @ForAll @Size(min = 1, max = 80) List<@IntRange(min = 0, max = 59) Integer> steps) {
        CustomerQueues queues = new WeightedFairQueues();
        Map<Long, QueuedRequest> waiting = new HashMap<>();
        long number = 0;
        for (int step : steps) {
            if (step % 3 < 2) {
                number++;
                QueuedRequest request = new QueuedRequest(
                        number, "customer-" + step % 5, 1 + step % 4, "class", "model-" + step % 2, step, 0, 1);
                queues.add(request);
                waiting.put(number, request);
            } else if (step % 2 == 0) {
                QueuedRequest next = queues.next(any -> true);
                assertThat(next == null).isEqualTo(waiting.isEmpty());
                if (next != null) {
                    assertThat(waiting.remove(next.requestId())).isEqualTo(next);
                }
            } else {
                QueuedRequest shed = queues.shedCandidate();
                assertThat(shed == null).isEqualTo(waiting.isEmpty());
                if (shed != null) {
                    assertThat(queues.remove(shed)).isTrue();
                    waiting.remove(shed.requestId());
                }
            }
            assertThat(queues.size()).isEqualTo(waiting.size());
            assertThat(queues.waiting("model-0") + queues.waiting("model-1")).isEqualTo(waiting.size());
        }
    }

    @Property(tries = 50, seed = "7")
    void backlogged_customers_get_service_in_proportion_to_their_weights(
            @ForAll @IntRange(min = 1, max = 8) int weight) {
        CustomerQueues queues = new WeightedFairQueues();
        for (int count = 0; count < 1_000; count++) {
            queues.add(new QueuedRequest(2L * count, "heavy", weight, "class", "model", 10, 0, 1));
            queues.add(new QueuedRequest(2L * count + 1, "light", 1, "class", "model", 10, 0, 1));
        }
        List<String> starts = new ArrayList<>();
        for (int count = 0; count < 100 * (weight + 1); count++) {
            starts.add(queues.next(any -> true).customer());
        }
        long light = starts.stream().filter("light"::equals).count();
        assertThat(light).isBetween(98L, 102L);
    }
}
