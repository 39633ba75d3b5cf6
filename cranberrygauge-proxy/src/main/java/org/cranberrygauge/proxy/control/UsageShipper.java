package org.cranberrygauge.proxy.control;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.cranberrygauge.protocol.generated.UsageCounted;
import org.cranberrygauge.proxy.duty.UsageCounter;

/**
 * Writes what this host counted into the shared log.
 *
 * <p>Used by one thread.
 */
public final class UsageShipper {

    /** The topic with the counts of all hosts. */
    static final String TOPIC = "usage-counted";

    /** The pause between looks at the clock in milliseconds. */
    private static final long TICK_MILLIS = 250;

    /** The writes in each window. */
    private static final int WRITES_PER_WINDOW = 2;

    /** The time after the end of a window at which its last counts are written, in milliseconds. */
    private static final long AFTER_END_MILLIS = 600;

    /** The tools. */
    private final ControlTools tools;

    /** The counts. */
    private final UsageCounter counter;

    /** The name of this start of the host. */
    private final String incarnation;

    /** The pause between writes in milliseconds. */
    private final long pauseMillis;

    /** Notes when counts can't be written. */
    private final DependencyWatch watch;

    /** The number of the last write period. */
    private long period = -1;

    /**
     * Creates a shipper.
     *
     * @param tools The tools.
     * @param counter The counts.
     * @param incarnation The name of this start of the host.
     * @param windowMillis The length of a window in milliseconds.
     */
    public UsageShipper(ControlTools tools, UsageCounter counter, String incarnation, long windowMillis) {
        this.tools = tools;
        this.counter = counter;
        this.incarnation = incarnation;
        this.pauseMillis = windowMillis / WRITES_PER_WINDOW;
        this.watch = new DependencyWatch("usage counts", tools.events());
    }

    /** Starts to write. */
    public void start() {
        tools.vertx().setPeriodic(TICK_MILLIS, fired -> {
            long present = Math.floorDiv(tools.time().wallMillis() - AFTER_END_MILLIS, pauseMillis);
            if (present != period) {
                period = present;
                ship();
            }
        });
    }

    /**
     * Writes the counts that changed.
     *
     * @return The end of the writes.
     */
    public Future<Void> ship() {
        Map<Long, Map<String, Long>> changed = counter.takeChanged();
        List<Future<Long>> writes = new ArrayList<>();
        changed.forEach((window, counts) -> writes.add(tools.log()
                .append(TOPIC, MessageCodec.write(new UsageCounted(incarnation, window, counts)), OptionalLong.empty())
                .onSuccess(offset -> watch.reached(tools.time().monotonicMillis()))
                .onFailure(failure -> {
                    watch.failed(tools.time().monotonicMillis(), String.valueOf(failure.getMessage()));
                    counter.giveBack(List.of(window));
                })));
        return Future.join(writes).mapEmpty();
    }
}
