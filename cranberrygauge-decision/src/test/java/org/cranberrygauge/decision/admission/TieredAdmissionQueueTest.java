package org.cranberrygauge.decision.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.cranberrygauge.decision.admission.AdmissionQueue.QueueStart;
import org.cranberrygauge.model.service.ServiceClass;
import org.junit.jupiter.api.Test;

class TieredAdmissionQueueTest {

    private static final ServiceClass HIGH = new ServiceClass("high", 1, 0.3, 1_000, 30, 5_000, 2);

    private static final ServiceClass LOW = new ServiceClass("low", 3, 0.5, 10_000, 200, 60_000, 2);

    private long number;

    @Test
    void a_full_queue_sheds_the_lowest_waiting_tier_and_not_the_new_request() {
        AdmissionQueue queue = queue(AdmissionPolicy.standard());
        QueuedRequest low = request(LOW, "one", 0);
        queue.offer(0, low);
        for (int count = 0; count < 3; count++) {
            assertThat(queue.offer(0, request(HIGH, "one", 0))).isEmpty();
        }

        List<Refusal> refusals = queue.offer(0, request(HIGH, "one", 0));

        assertThat(refusals).extracting(Refusal::requestId).containsExactly(low.requestId());
        assertThat(queue.waiting("high")).isEqualTo(4);
    }

    @Test
    void a_starved_class_gets_one_start_even_while_higher_tiers_are_near_their_deadline() {
        AdmissionQueue queue = queue(AdmissionPolicy.standard());
        queue.offer(0, request(LOW, "one", 0));
        queue.offer(6_000, request(HIGH, "one", 6_000));

        assertThat(next(queue, 9_999)).isEqualTo("high");
        queue.offer(9_999, request(HIGH, "one", 6_000));
        QueueStart start = queue.next(10_000, request -> true).orElseThrow();

        assertThat(start.request().className()).isEqualTo("low");
        assertThat(start.guaranteed()).isTrue();
    }

    @Test
    void without_shares_a_starved_class_goes_on_waiting() {
        AdmissionQueue queue = queue(AdmissionPolicy.standard().withShares(GuaranteedSharePolicy.Disabled.INSTANCE));
        queue.offer(0, request(LOW, "one", 0));
        queue.offer(9_000, request(HIGH, "one", 9_000));

        assertThat(next(queue, 10_000)).isEqualTo("high");
    }

    @Test
    void a_share_waits_while_a_higher_tier_is_close_to_its_deadline() {
        AdmissionQueue queue = queue(AdmissionPolicy.standard());
        queue.offer(0, request(LOW, "one", 0));
        for (int count = 0; count < 2; count++) {
            queue.offer(0, request(HIGH, "one", 0));
            next(queue, 0);
        }
        queue.offer(5_000, request(HIGH, "one", 1_000));

        assertThat(next(queue, 5_000)).isEqualTo("high");
        queue.offer(5_000, request(HIGH, "one", 5_000));
        assertThat(next(queue, 5_000)).isEqualTo("low");
    }

    @Test
    void a_request_that_cannot_start_in_time_is_refused_at_once_with_a_retry_delay() {
        AdmissionQueue queue = busyQueue(AdmissionPolicy.standard());

        List<Refusal> refusals = queue.offer(4_000, request(HIGH, "one", 4_000));

        assertThat(refusals).hasSize(1);
        assertThat(refusals.get(0).retryAfterMillis()).isGreaterThan(1_000);
    }

    @Test
    void without_a_wait_limit_a_request_that_cannot_start_in_time_waits() {
        AdmissionQueue queue = busyQueue(AdmissionPolicy.standard().withWaitLimit(WaitLimit.Disabled.INSTANCE));

        assertThat(queue.offer(4_000, request(HIGH, "one", 4_000))).isEmpty();
    }

    @Test
    void a_partly_executed_request_is_queued_again_regardless_of_its_predicted_wait() {
        AdmissionQueue queue = busyQueue(AdmissionPolicy.standard());

        assertThat(queue.resume(4_000, request(HIGH, "one", 4_000))).isEmpty();
    }

    @Test
    void a_request_is_refused_as_soon_as_its_deadline_passes() {
        AdmissionQueue queue = queue(AdmissionPolicy.standard());
        QueuedRequest request = request(HIGH, "one", 0);
        queue.offer(0, request);

        assertThat(queue.expire(4_999)).isEmpty();
        assertThat(queue.expire(5_000)).extracting(Refusal::requestId).containsExactly(request.requestId());
        assertThat(queue.next(5_000, any -> true)).isEmpty();
    }

    @Test
    void a_customer_with_many_requests_takes_turns_with_one_that_has_few() {
        assertThat(startsOfSmallCustomer(AdmissionPolicy.standard())).isEqualTo(3);
    }

    @Test
    void in_the_order_of_arrival_a_customer_with_few_requests_waits_behind_one_that_has_many() {
        assertThat(startsOfSmallCustomer(
                        AdmissionPolicy.standard().withCustomerQueues(CustomerQueues.FirstInFirstOut::new)))
                .isZero();
    }

    private long startsOfSmallCustomer(AdmissionPolicy policy) {
        AdmissionQueue queue = new TieredAdmissionQueue(policy);
        queue.configure(List.of(new ServiceClass("high", 1, 0.3, 1_000, 30, 5_000, 100)));
        for (int count = 0; count < 20; count++) {
            queue.offer(0, request(HIGH, "large", 0));
        }
        for (int count = 0; count < 3; count++) {
            queue.offer(0, request(HIGH, "small", 0));
        }
        List<String> customers = new ArrayList<>();
        for (int count = 0; count < 7; count++) {
            customers.add(queue.next(0, any -> true).orElseThrow().request().customer());
        }
        return customers.stream().filter("small"::equals).count();
    }

    private AdmissionQueue busyQueue(AdmissionPolicy policy) {
        AdmissionQueue queue = new TieredAdmissionQueue(policy);
        queue.configure(List.of(new ServiceClass("high", 1, 0.3, 1_000, 30, 5_000, 100)));
        for (int count = 0; count < 20; count++) {
            queue.offer(0, request(HIGH, "one", 0));
        }
        for (long now = 500; now <= 4_000; now += 500) {
            next(queue, now);
        }
        return queue;
    }

    private AdmissionQueue queue(AdmissionPolicy policy) {
        AdmissionQueue queue = new TieredAdmissionQueue(policy);
        queue.configure(List.of(HIGH, LOW));
        return queue;
    }

    private static String next(AdmissionQueue queue, long now) {
        return queue.next(now, any -> true).orElseThrow().request().className();
    }

    private QueuedRequest request(ServiceClass serviceClass, String customer, long now) {
        number++;
        return new QueuedRequest(
                number, customer, 1, serviceClass.name(), "model", 100, now, now + serviceClass.longestWaitMillis());
    }
}
