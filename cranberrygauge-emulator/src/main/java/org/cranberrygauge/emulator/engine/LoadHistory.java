package org.cranberrygauge.emulator.engine;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The load of an engine over the last time, so that it can be reported with a lag.
 *
 * <p>Used by one thread.
 */
final class LoadHistory {

    /** The time for which samples are kept in milliseconds. */
    private static final long KEPT_MILLIS = 30_000;

    /** The samples, oldest first. */
    private final Deque<Sample> samples = new ArrayDeque<>();

    /**
     * Adds a sample.
     *
     * @param sample The sample.
     */
    void add(Sample sample) {
        samples.addLast(sample);
        while (samples.peekFirst().takenAtMillis() < sample.takenAtMillis() - KEPT_MILLIS) {
            samples.removeFirst();
        }
    }

    /**
     * Returns the newest sample of a time or before.
     *
     * @param atMillis The time in milliseconds of the epoch.
     * @return The sample, or that of an idle engine.
     */
    Sample at(long atMillis) {
        Sample found = new Sample(atMillis, 0, 0, 0);
        for (Sample sample : samples) {
            if (sample.takenAtMillis() > atMillis) {
                return found;
            }
            found = sample;
        }
        return found;
    }

    /**
     * The load at one time.
     *
     * @param takenAtMillis The time in milliseconds of the epoch.
     * @param running The requests that ran.
     * @param waiting The requests that waited.
     * @param cacheEvents The number of cache events so far.
     */
    record Sample(long takenAtMillis, int running, int waiting, int cacheEvents) {}
}
