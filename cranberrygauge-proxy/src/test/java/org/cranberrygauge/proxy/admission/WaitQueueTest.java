package org.cranberrygauge.proxy.admission;

import static org.assertj.core.api.Assertions.assertThat;

import org.cranberrygauge.decision.fairness.CustomerUse;
import org.cranberrygauge.decision.fairness.FairOrder.Entry;
import org.junit.jupiter.api.Test;

/**
 * Guards the queue order when a burst of long prompts of one class arrives beside more urgent requests, or one customer
 * uses most of the capacity.
 */
class WaitQueueTest {

    private final CustomerUse use = new CustomerUse();

    private final WaitQueue<String> queue = new WaitQueue<>(use);

    @Test
    void theMostUrgentRequestIsNext() {
        queue.add(entry("study", 7, 1_000, 5_000));
        queue.add(entry("summary", 4, 1_000, 5_000));
        assertThat(queue.inOrder(0)).startsWith("summary");
    }

    @Test
    void aLateUrgentRequestGoesBeforeALessUrgentOne() {
        queue.add(entry("study", 7, 9_000, 9_000));
        queue.add(entry("summary", 4, 100, 9_000));
        assertThat(queue.inOrder(500)).startsWith("summary");
    }

    @Test
    void atEqualUrgencyARequestThatCanMeetItsTargetGoesFirst() {
        queue.add(entry("late", 7, 100, 5_000));
        queue.add(entry("on time", 7, 2_000, 5_000));
        assertThat(queue.inOrder(50)).startsWith("late");
        assertThat(queue.inOrder(200)).startsWith("on time");
    }

    @Test
    void onlyRequestsWhoseTimeIsOverExpire() {
        queue.add(entry("short", 7, 100, 300));
        queue.add(entry("long", 7, 100, 400));
        assertThat(queue.removeExpired(300)).containsExactly("short");
        assertThat(queue.size()).isEqualTo(1);
        queue.remove("long");
        assertThat(queue.inOrder(0)).isEmpty();
    }

    @Test
    void atEqualUrgencyTheCustomerThatReceivedLessGoesFirst() {
        use.record(0, "large", 10_000);
        queue.add(new Entry<>("of large", "large", 100, 7, 1_000, 5_000, 0));
        queue.add(new Entry<>("of small", "small", 100, 7, 1_000, 5_000, 10));
        assertThat(queue.inOrder(20)).startsWith("of small");
    }

    @Test
    void oneOfEightStartsGoesToTheLongestWaitOfAnyUrgency() {
        queue.add(new Entry<>("waits", "other", 100, 9, 0, 4_000, 0));
        for (int start = 0; start < 7; start++) {
            queue.add(new Entry<>("urgent " + start, "large", 100, 0, 9_000, 9_000, 1_000));
            String next = queue.inOrder(2_000).get(0);
            assertThat(next).startsWith("urgent");
            queue.removeStarted(next);
        }
        queue.add(new Entry<>("urgent", "large", 100, 0, 9_000, 9_000, 1_000));
        assertThat(queue.inOrder(2_000)).startsWith("waits");
    }

    private static Entry<String> entry(String item, int urgency, long onTimeMillis, long expiresAtMillis) {
        return new Entry<>(item, "customer", 100, urgency, onTimeMillis, expiresAtMillis, 0);
    }
}
