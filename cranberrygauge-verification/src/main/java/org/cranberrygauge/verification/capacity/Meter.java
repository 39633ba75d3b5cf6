package org.cranberrygauge.verification.capacity;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.IntFunction;
import java.util.function.Supplier;

/**
 * Measures the processor time and the heap memory of work on one thread.
 *
 * <p>Processor time is that of the calling thread, so that other processes on the machine disturb it little. Not
 * thread-safe.
 */
public final class Meter {

    /** The number of batches, of which the median is taken. */
    private static final int BATCHES = 7;

    /** The number of builds, of which the median is taken. */
    private static final int BUILDS = 3;

    /** The minimum processor time of one batch. */
    private static final long BATCH_NANOS = 40_000_000;

    /** The minimum processor time of the warm-up. */
    private static final long WARM_UP_NANOS = 300_000_000;

    /** The number of garbage collections before memory is read. */
    private static final int COLLECTIONS = 3;

    private static final double NANOS_PER_MICRO = 1_000;

    /** The last result, kept so that the compiler can't eliminate the work. */
    private Object retained;

    /**
     * Measures the processor time of some work.
     *
     * @param work The work, whose result must depend on all of it.
     * @return The median over several batches in microseconds per run.
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
     * Measures the heap memory that a structure retains.
     *
     * @param build Builds the structure with a given size.
     * @return The median over several builds in bytes.
     */
    public double bytes(IntFunction<Object> build, int size) {
        List<Double> builds = new ArrayList<>();
        for (int round = 0; round < BUILDS; round++) {
            builds.add(bytesOnce(build, size));
        }
        Collections.sort(builds);
        return builds.get(BUILDS / 2);
    }

    private double bytesOnce(IntFunction<Object> build, int size) {
        retained = null;
        long before = usedBytes();
        retained = build.apply(size);
        long after = usedBytes();
        return Math.max(0, after - before);
    }

    /** Repeats some work for at least the given processor time, and returns the nanoseconds per run. */
    private double run(Supplier<?> work, long nanos) {
        long start = processorNanos();
        long runs = 0;
        long spent;
        do {
            retained = work.get();
            runs++;
            spent = processorNanos() - start;
        } while (spent < nanos);
        return (double) spent / runs;
    }

    private static long processorNanos() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    /** Returns the used heap after garbage collection. */
    private static long usedBytes() {
        for (int round = 0; round < COLLECTIONS; round++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
