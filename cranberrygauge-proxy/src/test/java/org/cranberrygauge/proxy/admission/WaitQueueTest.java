package org.cranberrygauge.proxy.admission;

import static org.assertj.core.api.Assertions.assertThat;

import org.cranberrygauge.proxy.admission.WaitQueue.Entry;
import org.junit.jupiter.api.Test;

/** Answers the pattern of a burst of long prompts of one class beside a more urgent one. */
class WaitQueueTest {

    private final WaitQueue<String> line = new WaitQueue<>();

    @Test
    void theMostUrgentGoesFirst() {
        line.add(new Entry<>("study", 7, 1_000, 5_000));
        line.add(new Entry<>("summary", 4, 1_000, 5_000));
        assertThat(line.first(0)).contains("summary");
    }

    @Test
    void anUrgentOneThatIsLateStillGoesBeforeALessUrgentOne() {
        line.add(new Entry<>("study", 7, 9_000, 9_000));
        line.add(new Entry<>("summary", 4, 100, 9_000));
        assertThat(line.first(500)).contains("summary");
    }

    @Test
    void ofEqualUrgencyOneThatCanBeOnTimeGoesBeforeOneThatCannot() {
        line.add(new Entry<>("late", 7, 100, 5_000));
        line.add(new Entry<>("on time", 7, 2_000, 5_000));
        assertThat(line.first(50)).contains("late");
        assertThat(line.first(200)).contains("on time");
    }

    @Test
    void givesUpOnlyThoseWhoseTimeIsShort() {
        line.add(new Entry<>("short", 7, 100, 300));
        line.add(new Entry<>("long", 7, 100, 400));
        assertThat(line.takeGivenUp(300)).containsExactly("short");
        assertThat(line.size()).isEqualTo(1);
        line.remove("long");
        assertThat(line.first(0)).isEmpty();
    }
}
