package org.cranberrygauge.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.cranberrygauge.decision.admission.QueuedRequest;
import org.cranberrygauge.decision.admission.Refusal;
import org.cranberrygauge.decision.preemption.PreemptionPolicy;
import org.cranberrygauge.decision.routing.RoutingRequest;
import org.cranberrygauge.model.backend.BackendKind;
import org.cranberrygauge.model.backend.BackendServer;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.model.backend.Supply;
import org.cranberrygauge.model.service.ServiceClass;
import org.junit.jupiter.api.Test;

class DispatcherTest implements DispatchListener {

    private final List<Long> started = new ArrayList<>();

    private final List<Long> refused = new ArrayList<>();

    private final List<Long> preempted = new ArrayList<>();

    @Test
    void a_lower_tier_is_preempted_after_its_minimum_progress_and_resumed_later() {
        Dispatcher dispatcher = dispatcher(DispatchPolicy.standard());
        submit(dispatcher, 0, 1, "low");
        submit(dispatcher, 500, 2, "high");
        dispatcher.tick(900);
        assertThat(preempted).isEmpty();
        dispatcher.tick(1_000);
        assertThat(preempted).containsExactly(1L);

        dispatcher.ended(1_010, 1, "engine");
        submit(dispatcher, 1_010, 1, "low");
        assertThat(started).containsExactly(1L, 2L);
        dispatcher.ended(2_000, 2, "engine");
        assertThat(started).containsExactly(1L, 2L, 1L);
        assertThat(refused).isEmpty();
    }

    @Test
    void without_preemption_a_higher_tier_waits_for_a_lower_one() {
        Dispatcher dispatcher =
                dispatcher(DispatchPolicy.standard().withPreemption(PreemptionPolicy.Disabled.INSTANCE));
        submit(dispatcher, 0, 1, "low");
        submit(dispatcher, 500, 2, "high");
        dispatcher.tick(2_000);
        assertThat(preempted).isEmpty();
    }

    @Test
    void a_higher_tier_is_not_refused_for_its_predicted_wait_while_a_preemptible_lower_one_runs() {
        assertThat(refusedUnderBacklog(DispatchPolicy.standard())).isEmpty();
    }

    @Test
    void without_preemption_requests_that_cannot_start_in_time_are_refused() {
        assertThat(refusedUnderBacklog(DispatchPolicy.standard().withPreemption(PreemptionPolicy.Disabled.INSTANCE)))
                .isNotEmpty();
    }

    private List<Long> refusedUnderBacklog(DispatchPolicy policy) {
        Dispatcher dispatcher = dispatcher(policy);
        submit(dispatcher, 0, 1, "high");
        for (long number = 2; number <= 8; number++) {
            submit(dispatcher, 0, number, "high");
        }
        for (long number = 1; number <= 4; number++) {
            dispatcher.ended(number * 900, number, "engine");
        }
        dispatcher.cancel(6);
        dispatcher.cancel(7);
        dispatcher.cancel(8);
        dispatcher.ended(3_700, 5, "engine");
        submit(dispatcher, 3_700, 20, "low");
        for (long number = 30; number <= 40; number++) {
            submit(dispatcher, 3_710, number, "high");
        }
        return refused;
    }

    @Test
    void a_higher_tier_is_never_preempted_for_a_lower_one() {
        Dispatcher dispatcher = dispatcher(DispatchPolicy.standard());
        submit(dispatcher, 0, 1, "high");
        submit(dispatcher, 0, 2, "low");
        dispatcher.tick(9_000);
        assertThat(preempted).isEmpty();
    }

    @Test
    void a_retried_request_gets_a_new_deadline() {
        Dispatcher dispatcher = dispatcher(DispatchPolicy.standard());
        submit(dispatcher, 0, 1, "high");
        submit(dispatcher, 6_000, 2, "high");
        dispatcher.ended(6_000, 1, "engine");
        submit(dispatcher, 6_000, 1, "high");
        dispatcher.tick(6_100);
        assertThat(refused).isEmpty();
    }

    @Test
    void a_cancelled_request_is_neither_started_nor_refused() {
        Dispatcher dispatcher = dispatcher(DispatchPolicy.standard());
        submit(dispatcher, 0, 1, "high");
        submit(dispatcher, 0, 2, "high");
        dispatcher.cancel(2);
        dispatcher.ended(100, 1, "engine");
        dispatcher.tick(60_000);
        assertThat(started).containsExactly(1L);
        assertThat(refused).isEmpty();
    }

    @Override
    public void start(QueuedRequest request, BackendServer server, boolean guaranteed) {
        started.add(request.requestId());
    }

    @Override
    public void refuse(Refusal refusal) {
        refused.add(refusal.requestId());
    }

    @Override
    public void preempt(long requestId) {
        preempted.add(requestId);
    }

    private Dispatcher dispatcher(DispatchPolicy policy) {
        Dispatcher dispatcher = new Dispatcher(policy, this, new Random(1));
        dispatcher
                .table()
                .configure(List.of(new BackendServer(
                        "engine",
                        new NetworkAddress("127.0.0.1", 1),
                        "centre",
                        BackendKind.MODEL,
                        Set.of("model"),
                        Supply.REGULAR,
                        1,
                        true)));
        dispatcher.configure(List.of(
                new ServiceClass("high", 1, 0.1, 1_000, 30, 5_000, 100),
                new ServiceClass("low", 3, 0.1, 60_000, 200, 600_000, 100)));
        return dispatcher;
    }

    private static void submit(Dispatcher dispatcher, long now, long number, String className) {
        long wait = className.equals("high") ? 5_000 : 600_000;
        QueuedRequest request = new QueuedRequest(number, "customer", 1, className, "model", 200, now, now + wait);
        dispatcher.submit(now, request, new RoutingRequest("model", "prefix", 100), true, Eligibility.Any.INSTANCE);
    }
}
