package org.cranberrygauge.decision.memory;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;

/**
 * Bounds the bytes that all holders together keep in memory, and the bytes that each of them may reserve.
 *
 * <p>Invariants: {@link #tryReserve} and {@link Reservation#tryAdd} never raise the reserved bytes above the total.
 * Bytes that have already arrived are added without a bound, and their source has to pause; one holder at a time is
 * exempt from the pause, so that holders which wait for each other's memory still make progress; it pauses at the headroom above the total. Thread-safe; resumed
 * holders are notified outside the lock, on the thread that releases bytes.
 */
public final class ByteBudget {

    private final long totalBytes;

    private final long holderBytes;

    private final long headroomBytes;

    private long reservedBytes;

    /** The number of requests for memory that were refused. */
    private long refusals;

    /** The holder that does not pause although the budget is exhausted; null if there is none. */
    private Reservation exempt;

    /** The paused holders, in the order in which they paused. */
    private final Queue<Waiting> waiting = new ArrayDeque<>();

    /**
     * Creates an empty budget.
     *
     * @param totalBytes The maximum of all reserved bytes.
     * @param holderBytes The maximum that one holder can reserve by {@link Reservation#tryAdd}.
     * @param headroomBytes The bytes above the total up to which the exempt holder may go on.
     */
    public ByteBudget(long totalBytes, long holderBytes, long headroomBytes) {
        if (totalBytes < 1 || holderBytes < 1) {
            throw new IllegalArgumentException("limits must be positive: " + totalBytes + ", " + holderBytes);
        }
        this.totalBytes = totalBytes;
        this.holderBytes = holderBytes;
        this.headroomBytes = headroomBytes;
    }

    /** Returns an empty reservation for a new holder. */
    public Reservation open() {
        return new Reservation(this);
    }

    /** Reserves bytes unless the total would be exceeded, and returns whether they are reserved. */
    public synchronized boolean tryReserve(long bytes) {
        requireNotNegative(bytes);
        if (bytes > totalBytes - reservedBytes) {
            refusals++;
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    /** Releases bytes that are reserved, and resumes paused holders if there is room for them. */
    public void release(long bytes) {
        List<Waiting> resumed;
        synchronized (this) {
            requireNotNegative(bytes);
            if (bytes > reservedBytes) {
                throw new IllegalArgumentException("released " + bytes + " of " + reservedBytes + " bytes");
            }
            reservedBytes -= bytes;
            resumed = takeResumed();
        }
        resumed.forEach(holder -> holder.resume().run());
    }

    public synchronized long reservedBytes() {
        return reservedBytes;
    }

    /** Returns the number of requests for memory that were refused so far, including pauses. */
    public synchronized long refusals() {
        return refusals;
    }

    /** Tells whether some holder is paused. */
    public synchronized boolean hasWaiting() {
        return !waiting.isEmpty();
    }

    long holderBytes() {
        return holderBytes;
    }

    /** Counts a refusal by the limit of a holder. */
    synchronized void recordRefusal() {
        refusals++;
    }

    /** Reserves bytes that are already in memory, even above the total. */
    synchronized void reserve(long bytes) {
        requireNotNegative(bytes);
        reservedBytes += bytes;
    }

    /**
     * Tells whether a holder has to pause its source.
     *
     * @param resume Called once when the holder may go on, if it has to pause.
     */
    synchronized boolean pauses(Reservation holder, Runnable resume) {
        if (reservedBytes < totalBytes) {
            return false;
        }
        if (exempt == null) {
            exempt = holder;
        }
        if (exempt == holder && hasHeadroom()) {
            return false;
        }
        refusals++;
        waiting.add(new Waiting(holder, resume));
        return true;
    }

    /** Releases the bytes of a holder that has ended. */
    void end(Reservation holder, long bytes) {
        synchronized (this) {
            waiting.removeIf(paused -> paused.holder() == holder);
            if (exempt == holder) {
                exempt = null;
            }
        }
        release(bytes);
    }

    /** Takes the holders from the queue that may go on: all if there is room, else the next exempt one. */
    private List<Waiting> takeResumed() {
        List<Waiting> resumed = new ArrayList<>();
        if (reservedBytes < totalBytes) {
            exempt = null;
            resumed.addAll(waiting);
            waiting.clear();
        } else if (hasHeadroom()) {
            if (exempt == null && !waiting.isEmpty()) {
                exempt = waiting.element().holder();
            }
            waiting.stream().filter(paused -> paused.holder() == exempt).forEach(resumed::add);
            waiting.removeAll(resumed);
        }
        return resumed;
    }

    private boolean hasHeadroom() {
        return reservedBytes - totalBytes < headroomBytes;
    }

    private static void requireNotNegative(long bytes) {
        if (bytes < 0) {
            throw new IllegalArgumentException("negative bytes: " + bytes);
        }
    }

    /** A paused holder, and what resumes it. */
    private record Waiting(Reservation holder, Runnable resume) {}
}
