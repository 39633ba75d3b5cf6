package org.cranberrygauge.verification.capacity;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.IntFunction;
import java.util.function.Supplier;

/**
 * Measures processor time and memory of work on one thread.
 *
 * <p>Processor time is that of the calling thread, so that other processes on the machine disturb it little. Used by one
 * thread.
 */
public final class Meter {

    /** The number of batches, of which the median counts. */
    private static final int BATCHES = 7;

    /** The number of builds, of which the median counts. */
    private static final int BUILDS = 3;

    /** The processor time that one batch takes at least in nanoseconds. */
    private static final long BATCH_NANOS = 40_000_000;

    /** The processor time of the warm-up in nanoseconds. */
    private static final long WARM_UP_NANOS = 300_000_000;

    /** The number of rounds of garbage collection before memory is read. */
    private static final int COLLECTIONS = 3;

    /** The number of nanoseconds in a microsecond. */
    private static final double NANOS_PER_MICRO = 1_000;

    /** Keeps results, so that the work can't be left out. */
    private Object kept;

    /**
     * Measures the processor time of one run of some work.
     *
     * @param work The work, which returns something that depends on it.
     * @return The median of several batches in microseconds.
     */
    public double micros(Supplier<?> work) {
        run(work, WARM_UP_NANOS);
        List<Double> batches = new ArrayList<>();
        for (int batch = 0; batch < BATCHES; batch++) {
            batches.add(run(work, BATCH_NANOS));
        }
        Collections.sort(batches);
        return batches.get(BATCHES / 2) / NANOS_PER_MICRO;
    }

    /**
     * Measures the heap that a structure keeps.
     *
     * @param build Builds the structure of a size.
     * @param size The size.
     * @return The median of several builds in bytes.
     */
    public double bytes(IntFunction<Object> build, int size) {
        List<Double> builds = new ArrayList<>();
        for (int round = 0; round < BUILDS; round++) {
            builds.add(bytesOnce(build, size));
        }
        Collections.sort(builds);
        return builds.get(BUILDS / 2);
    }

    /**
     * Measures the heap of one build.
     *
     * @param build Builds the structure of a size.
     * @param size The size.
     * @return The heap in bytes.
     */
    private double bytesOnce(IntFunction<Object> build, int size) {
        kept = null;
        long before = usedBytes();
        kept = build.apply(size);
        long after = usedBytes();
        return Math.max(0, after - before);
    }

    /**
     * Runs some work again and again.
     *
     * @param work The work.
     * @param nanos The processor time to spend at least in nanoseconds.
     * @return The processor time of one run in nanoseconds.
     */
    private double run(Supplier<?> work, long nanos) {
        long start = processorNanos();
        long runs = 0;
        long spent;
        do {
            kept = work.get();
            runs++;
            spent = processorNanos() - start;
        } while (spent < nanos);
        return (double) spent / runs;
    }

    /**
     * Reads the processor time of this thread.
     *
     * @return The time in nanoseconds.
     */
    private static long processorNanos() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    /**
     * Reads the used heap after garbage collection.
     *
     * @return The heap in bytes.
     */
    private static long usedBytes() {
        for (int round = 0; round < COLLECTIONS; round++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
