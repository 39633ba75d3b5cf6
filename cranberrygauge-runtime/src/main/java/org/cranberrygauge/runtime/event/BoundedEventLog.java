package org.cranberrygauge.runtime.event;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * Writes events as lines from a thread of its own.
 *
 * <p>Invariants: emitting never blocks; at most a set number of lines is written in a second; what is dropped is counted and
 * told by a line. Safe for use by several threads.
 */
public final class BoundedEventLog implements EventLog {

    /** The events that may wait to be written. */
    private static final int CAPACITY = 2_048;

    /** The milliseconds of a second. */
    private static final long SECOND_MILLIS = 1_000;

    /** The events that wait to be written. */
    private final BlockingQueue<Timed> waiting = new ArrayBlockingQueue<>(CAPACITY);

    /** The events dropped since the last line that told so. */
    private final AtomicLong dropped = new AtomicLong();

    /** The output. */
    private final PrintStream output;

    /** The lines that are written in a second at most. */
    private final int linesPerSecond;

    /** The clocks. */
    private final TimeSource time;

    /** The second that lines are counted in. */
    private long second;

    /** The lines written in that second. */
    private int lines;

    /**
     * Creates a log.
     *
     * @param output The output.
     * @param linesPerSecond The lines that are written in a second at most.
     * @param time The clocks.
     */
    BoundedEventLog(PrintStream output, int linesPerSecond, TimeSource time) {
        this.output = output;
        this.linesPerSecond = linesPerSecond;
        this.time = time;
    }

    /**
     * Creates a log on standard output and starts its thread.
     *
     * @param linesPerSecond The lines that are written in a second at most.
     * @param time The clocks.
     * @return The log.
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
        if (!waiting.offer(new Timed(time.wallMillis(), event))) {
            dropped.incrementAndGet();
        }
    }

    /** Writes events until the thread is interrupted. */
    private void run() {
        try {
            while (true) {
                write(waiting.take());
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /** Writes the events that wait. */
    void writeWaiting() {
        for (Timed event = waiting.poll(); event != null; event = waiting.poll()) {
            write(event);
        }
    }

    /**
     * Writes an event unless too many were written in the present second.
     *
     * @param event The event.
     */
    private void write(Timed event) {
        long present = event.atMillis() / SECOND_MILLIS;
        if (present != second) {
            second = present;
            lines = 0;
            long lost = dropped.getAndSet(0);
            if (lost > 0) {
                print(event.atMillis(), EventLog.line(new EventsDropped(lost)));
            }
        }
        if (lines >= linesPerSecond) {
            dropped.incrementAndGet();
            return;
        }
        lines++;
        print(event.atMillis(), EventLog.line(event.event()));
    }

    /**
     * Prints a line with one write.
     *
     * @param atMillis The time of the event in milliseconds of the epoch.
     * @param line The line.
     */
    private void print(long atMillis, String line) {
        byte[] bytes = ("time=" + atMillis + " " + line + "\n").getBytes(StandardCharsets.UTF_8);
        output.write(bytes, 0, bytes.length);
        output.flush();
    }

    /**
     * Events that were not written.
     *
     * @param count Their number.
     */
    record EventsDropped(long count) implements Event {}

    /**
     * An event and its time.
     *
     * @param atMillis The time in milliseconds of the epoch.
     * @param event The event.
     */
    private record Timed(long atMillis, Event event) {}
}
