package org.cranberrygauge.proxy.control;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.cranberrygauge.runtime.time.TimeSource;

/** Virtual time and the actions that are due in it, in order. Not thread-safe. */
final class VirtualTimeline implements TimeSource {

    private final PriorityQueue<Scheduled> scheduled =
            new PriorityQueue<>(Comparator.comparingLong(Scheduled::atMillis).thenComparingLong(Scheduled::number));

    private long nowMillis;

    private long lastNumber;

    @Override
    public long monotonicMillis() {
        return nowMillis;
    }

    @Override
    public long wallMillis() {
        return nowMillis;
    }

    void after(long millis, Runnable action) {
        scheduled.add(new Scheduled(nowMillis + millis, ++lastNumber, action));
    }

    /** Advances the time and runs the actions that are due. */
    void advance(long millis) {
        long end = nowMillis + millis;
        while (!scheduled.isEmpty() && scheduled.peek().atMillis() <= end) {
            Scheduled next = scheduled.poll();
            nowMillis = next.atMillis();
            next.action().run();
        }
        nowMillis = end;
    }

    private record Scheduled(long atMillis, long number, Runnable action) {}
}
