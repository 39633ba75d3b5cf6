package org.cranberrygauge.emulator.engine;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Recent samples of the load of an engine, so that it can be reported with a lag.
 *
 * <p>Used by one thread.
 */
final class LoadHistory {

    private static final long RETENTION_MILLIS = 30_000;

    /** Oldest first. */
    private final Deque<Sample> samples = new ArrayDeque<>();

    void add(Sample sample) {
        samples.addLast(sample);
        while (samples.peekFirst().takenAtMillis() < sample.takenAtMillis() - RETENTION_MILLIS) {
            samples.removeFirst();
        }
    }

    /**
     * Returns the newest sample that was taken at a time or before it, or one of an idle engine if there is none.
     *
     * @param atMillis The time in milliseconds since the epoch.
     */
    Sample at(long atMillis) {
        Sample latest = new Sample(atMillis, 0, 0, 0);
        for (Sample sample : samples) {
            if (sample.takenAtMillis() > atMillis) {
                return latest;
            }
            latest = sample;
        }
        return latest;
    }

    /**
     * The load at one time.
     *
     * @param takenAtMillis The time in milliseconds since the epoch.
     * @param running The number of running requests.
     * @param waiting The number of queued requests.
     * @param cacheEvents The number of cache events so far.
     */
    record Sample(long takenAtMillis, int running, int waiting, int cacheEvents) {}
}
