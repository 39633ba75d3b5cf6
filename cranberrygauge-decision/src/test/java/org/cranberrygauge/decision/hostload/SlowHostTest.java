package org.cranberrygauge.decision.hostload;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.function.DoubleSupplier;
import org.junit.jupiter.api.Test;

/**
 * Guards against hosts that answer late what other hosts could answer in time, and against hosts that shed requests
 * although all others are as slow. Event loops, callers and time are simulated.
 */
class SlowHostTest {

    private static final long TARGET_MILLIS = 200;

    /** The service time of the backend server. */
    private static final double SERVICE_MILLIS = 43;

    /** The processor time to reject a request, and to pass its body or its response on. */
    private static final double REJECT_MILLIS = 0.3;

    private static final double PASS_MILLIS = 1;

    /** The time at which the hosts become as slow as a test states. */
    private static final double SLOW_FROM_MILLIS = 8_000;

    private static final double MEASURED_TO_MILLIS = 38_000;

    private static final double END_MILLIS = 40_000;

    private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingDouble(Event::atMillis));

    private final SplittableRandom random = new SplittableRandom(7);

    private final List<Host> hosts = new ArrayList<>();

    private double now;

    private boolean shedding = true;

    private int measured;

    private int onTime;

    private int shed;

    private int rejectedTwice;

    @Test
    void a_host_at_a_quarter_of_the_processor_time_of_the_others_sheds_what_it_would_answer_late() {
        double with = onTimeShare(true, 0.25, 1, 1, 1, 1, 1, 1, 1);
        double rejected = (double) rejectedTwice / measured;
        double without = new SlowHostTest().onTimeShare(false, 0.25, 1, 1, 1, 1, 1, 1, 1);
        assertThat(without).isLessThan(0.9);
        // The rest is lost until the overload is noticed and its backlog served.
        assertThat(1 - with).isLessThan((1 - without) / 3);
        assertThat(rejected).isLessThan(0.01);
    }

    @Test
    void no_host_sheds_while_all_are_slow() {
        onTimeShare(true, 0.25, 0.25, 0.25, 0.25, 0.25, 0.25, 0.25, 0.25);
        assertThat(shed).isZero();
    }

    @Test
    void no_host_sheds_while_all_keep_up() {
        assertThat(onTimeShare(true, 1, 1, 1, 1, 1, 1, 1, 1)).isEqualTo(1);
        assertThat(shed).isZero();
    }

    /** Simulates hosts of different speeds that receive equal shares of the requests, 0.4 of a full host's capacity. */
    private double onTimeShare(boolean sheds, double... speeds) {
        shedding = sheds;
        for (int index = 0; index < speeds.length; index++) {
            hosts.add(new Host());
        }
        hosts.forEach(host -> after(50, host::sample));
        after(SLOW_FROM_MILLIS, () -> {
            for (int index = 0; index < speeds.length; index++) {
                hosts.get(index).speed = speeds[index];
            }
        });
        after(200, this::report);
        after(0, this::arrive);
        while (now < END_MILLIS) {
            Event next = events.remove();
            now = next.atMillis();
            next.action().run();
        }
        return (double) onTime / measured;
    }

    private void arrive() {
        double meanMillis = 2 * PASS_MILLIS / 0.4 / hosts.size();
        double firstMillis = now;
        measured += isMeasured(firstMillis) ? 1 : 0;
        send(firstMillis, true);
        after(-meanMillis * Math.log(1 - random.nextDouble()), this::arrive);
    }

    private void send(double firstMillis, boolean first) {
        Host host = hosts.get(random.nextInt(hosts.size()));
        host.submit(() -> {
            if (shedding && host.load.mustShed((long) now, TARGET_MILLIS, host.others)) {
                shed++;
                if (first) {
                    after(50, () -> send(firstMillis, false));
                } else {
                    rejectedTwice += isMeasured(firstMillis) ? 1 : 0;
                }
                return REJECT_MILLIS;
            }
            after(
                    SERVICE_MILLIS,
                    () -> host.submit(() -> {
                        onTime += isMeasured(firstMillis) && now - firstMillis <= TARGET_MILLIS ? 1 : 0;
                        return PASS_MILLIS;
                    }));
            return PASS_MILLIS;
        });
    }

    private static boolean isMeasured(double firstMillis) {
        return firstMillis >= SLOW_FROM_MILLIS && firstMillis < MEASURED_TO_MILLIS;
    }

    private void report() {
        for (Host host : hosts) {
            List<Integer> delays = hosts.stream()
                    .filter(other -> other != host && other.load.delayMillis().isPresent())
                    .map(other -> other.load.delayMillis().getAsInt())
                    .toList();
            host.others = new OtherHosts((long) now, hosts.size() - 1 - delays.size(), delays);
        }
        after(200, this::report);
    }

    private void after(double millis, Runnable action) {
        events.add(new Event(now + millis, action));
    }

    private record Event(double atMillis, Runnable action) {}

    /** A host with one event loop, which runs one task after the other. */
    private final class Host {

        private final HostLoad load = new HostLoad(0, new SplittableRandom(3));

        /** Each task returns its processor time in milliseconds. */
        private final Queue<DoubleSupplier> tasks = new ArrayDeque<>();

        private double speed = 1;

        private OtherHosts others = OtherHosts.NONE;

        private boolean running;

        private Host() {
            load.setLowestTarget(TARGET_MILLIS);
        }

        private void submit(DoubleSupplier task) {
            tasks.add(task);
            if (!running) {
                runNext();
            }
        }

        private void runNext() {
            running = !tasks.isEmpty();
            if (running) {
                after(tasks.remove().getAsDouble() / speed, this::runNext);
            }
        }

        private void sample() {
            double dueMillis = now;
            submit(() -> {
                load.record((long) now, (long) (now - dueMillis));
                after(50, this::sample);
                return 0;
            });
        }
    }
}
