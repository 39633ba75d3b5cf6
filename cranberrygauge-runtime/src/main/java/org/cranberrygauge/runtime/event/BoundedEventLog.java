package org.cranberrygauge.runtime.event;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * Writes events as lines on a dedicated thread, at a limited rate.
 *
 * <p>Invariants: emitting never blocks; the number of lines written per second is limited; dropped events are counted
 * and reported with an event of their own. Safe for use by several threads.
 */
public final class BoundedEventLog implements EventLog {

    /** The largest number of events that are queued to be written. */
    private static final int CAPACITY = 2_048;

    private static final long SECOND_MILLIS = 1_000;

    private final BlockingQueue<TimestampedEvent> waiting = new ArrayBlockingQueue<>(CAPACITY);

    /** The number of events dropped since drops were last reported. */
    private final AtomicLong dropped = new AtomicLong();

    private final PrintStream output;

    /** The largest number of lines written per second. */
    private final int linesPerSecond;

    private final TimeSource time;

    /** The second in which lines are counted, since the epoch. */
    private long second;

    /** The number of lines written in that second. */
    private int lines;

    BoundedEventLog(PrintStream output, int linesPerSecond, TimeSource time) {
        this.output = output;
        this.linesPerSecond = linesPerSecond;
        this.time = time;
    }

    /**
     * Creates a log that writes to standard output and starts its thread.
     *
     * @param linesPerSecond The largest number of lines written per second.
     */
    public static EventLog standardOutput(int linesPerSecond, TimeSource time) {
        BoundedEventLog log = new BoundedEventLog(System.out, linesPerSecond, time);
        Thread writer = new Thread(log::run, "event-log");
        writer.setDaemon(true);
        writer.start();
        return log;
    }

    @Override
    public void emit(Event event) {
        if (!waiting.offer(new TimestampedEvent(time.wallMillis(), event))) {
            dropped.incrementAndGet();
        }
    }

    private void run() {
        try {
            while (true) {
                write(waiting.take());
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /** Writes the queued events on the calling thread. */
    void writeWaiting() {
        for (TimestampedEvent event = waiting.poll(); event != null; event = waiting.poll()) {
            write(event);
        }
    }

    /** Writes an event, unless the limit of the current second is reached. */
    private void write(TimestampedEvent event) {
        long currentSecond = event.atMillis() / SECOND_MILLIS;
        if (currentSecond != second) {
            second = currentSecond;
            lines = 0;
            long droppedCount = dropped.getAndSet(0);
            if (droppedCount > 0) {
                print(event.atMillis(), EventLog.line(new EventsDropped(droppedCount)));
            }
        }
        if (lines >= linesPerSecond) {
            dropped.incrementAndGet();
            return;
        }
        lines++;
        print(event.atMillis(), EventLog.line(event.event()));
    }

    /** Prints a line with a single write, so that it is not interleaved with other output. */
    private void print(long atMillis, String line) {
        byte[] bytes = ("time=" + atMillis + " " + line + "\n").getBytes(StandardCharsets.UTF_8);
        output.write(bytes, 0, bytes.length);
        output.flush();
    }

    /**
     * Events were dropped because the rate limit was exceeded or the queue was full.
     *
     * @param count The number of events dropped since the previous report.
     */
    record EventsDropped(long count) implements Event {}

    /** An event and the time in milliseconds since the epoch at which it was emitted. */
    private record TimestampedEvent(long atMillis, Event event) {}
}
