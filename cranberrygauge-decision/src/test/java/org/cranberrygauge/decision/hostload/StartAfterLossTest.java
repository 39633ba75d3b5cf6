package org.cranberrygauge.decision.hostload;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import org.junit.jupiter.api.Test;

/**
 * The pattern of all hosts that start at once under full load: requests have gathered, each takes much processor time, and
 * more arrive. The order of arrival serves each request when it is late; the order by what can be in time serves many.
 */
class StartAfterLossTest {

    private static final long TARGET_MILLIS = 500;

    /** The processor time that a request takes while code is being compiled, in milliseconds. */
    private static final long REQUEST_MILLIS = 10;

    /** The requests that have gathered when the host accepts them. */
    private static final int GATHERED = 120;

    /** The interval between further requests, of which the host can start two in three. */
    private static final long ARRIVAL_MILLIS = 7;

    private static final long END_MILLIS = 4_000;

    private interface Order {

        void add(long receivedMillis);

        Optional<Long> next(long nowMillis);
    }

    private static final class OfArrival implements Order {

        private final Queue<Long> queue = new ArrayDeque<>();

        @Override
        public void add(long receivedMillis) {
            queue.add(receivedMillis);
        }

        @Override
        public Optional<Long> next(long nowMillis) {
            return Optional.ofNullable(queue.poll());
        }
    }

    private static final class OfStarts implements Order {

        private final StartOrder<Long> order = new StartOrder<>();

        @Override
        public void add(long receivedMillis) {
            order.add(receivedMillis, 0, receivedMillis, receivedMillis + TARGET_MILLIS - REQUEST_MILLIS);
        }

        @Override
        public Optional<Long> next(long nowMillis) {
            return order.next(nowMillis);
        }
    }

    @Test
    void afterTheLossOfAllHostsTwiceAsManyRequestsAreServedInTime() {
        int inOrderOfArrival = servedInTime(new OfArrival());
        int inOrderOfStarts = servedInTime(new OfStarts());
        assertThat(inOrderOfStarts).isGreaterThan(2 * inOrderOfArrival);
    }

    @Test
    void noRequestIsForgotten() {
        StartOrder<Long> order = new StartOrder<>();
        for (long received = 0; received < GATHERED; received++) {
            order.add(received, (int) (received % 3), received, received + TARGET_MILLIS);
        }
        int started = 0;
        for (long now = 0; order.size() > 0; now += REQUEST_MILLIS) {
            assertThat(order.next(now)).isPresent();
            started++;
        }
        assertThat(started).isEqualTo(GATHERED);
    }

    @Test
    void theMostUrgentRequestThatCanBeInTimeComesFirst() {
        StartOrder<String> order = new StartOrder<>();
        order.add("late and urgent", 0, 0, 5);
        order.add("less urgent", 6, 4, 100);
        order.add("older", 3, 1, 100);
        order.add("newer", 3, 2, 100);
        assertThat(order.next(10)).contains("newer");
        assertThat(order.next(10)).contains("older");
        assertThat(order.next(10)).contains("less urgent");
        assertThat(order.next(10)).contains("late and urgent");
        assertThat(order.next(10)).isEmpty();
    }

    /** Returns the number of requests that were served within the target latency. */
    private static int servedInTime(Order order) {
        for (int number = 0; number < GATHERED; number++) {
            order.add(0);
        }
        int inTime = 0;
        long lastArrival = 0;
        for (long now = 0; now < END_MILLIS; now += REQUEST_MILLIS) {
            for (; lastArrival + ARRIVAL_MILLIS <= now; lastArrival += ARRIVAL_MILLIS) {
                order.add(lastArrival + ARRIVAL_MILLIS);
            }
            Optional<Long> next = order.next(now);
            boolean served = next.isPresent() && now + REQUEST_MILLIS - next.get() <= TARGET_MILLIS;
            inTime += served ? 1 : 0;
        }
        return inTime;
    }
}
