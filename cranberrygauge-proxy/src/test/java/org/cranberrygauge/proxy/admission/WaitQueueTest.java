package org.cranberrygauge.proxy.admission;

import static org.assertj.core.api.Assertions.assertThat;

import org.cranberrygauge.proxy.admission.WaitQueue.Entry;
import org.junit.jupiter.api.Test;

/** Guards the queue order when a burst of long prompts of one class arrives beside more urgent requests. */
class WaitQueueTest {

    private final WaitQueue<String> queue = new WaitQueue<>();

    @Test
    void theMostUrgentRequestIsNext() {
        queue.add(new Entry<>("study", 7, 1_000, 5_000));
        queue.add(new Entry<>("summary", 4, 1_000, 5_000));
        assertThat(queue.inOrder(0)).startsWith("summary");
    }

    @Test
    void aLateUrgentRequestGoesBeforeALessUrgentOne() {
        queue.add(new Entry<>("study", 7, 9_000, 9_000));
        queue.add(new Entry<>("summary", 4, 100, 9_000));
        assertThat(queue.inOrder(500)).startsWith("summary");
    }

    @Test
    void atEqualUrgencyARequestThatCanMeetItsTargetGoesFirst() {
        queue.add(new Entry<>("late", 7, 100, 5_000));
        queue.add(new Entry<>("on time", 7, 2_000, 5_000));
        assertThat(queue.inOrder(50)).startsWith("late");
        assertThat(queue.inOrder(200)).startsWith("on time");
    }

    @Test
    void onlyRequestsWhoseTimeIsOverExpire() {
        queue.add(new Entry<>("short", 7, 100, 300));
        queue.add(new Entry<>("long", 7, 100, 400));
        assertThat(queue.removeExpired(300)).containsExactly("short");
        assertThat(queue.size()).isEqualTo(1);
        queue.remove("long");
        assertThat(queue.inOrder(0)).isEmpty();
    }
}
