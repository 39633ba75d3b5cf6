package org.cranberrygauge.decision.memory;

/**
 * The bytes that one holder has reserved of a {@link ByteBudget}.
 *
 * <p>Invariants: the bytes are released exactly once, at the latest by {@link #close}; after it nothing is reserved and
 * all methods have no effect, so that callbacks that arrive late are harmless. Thread-safe.
 */
public final class Reservation implements AutoCloseable {

    private final ByteBudget budget;

    private long bytes;

    private boolean closed;

    Reservation(ByteBudget budget) {
        this.budget = budget;
    }

    /**
     * Reserves further bytes unless a limit would be exceeded.
     *
     * @return Whether they are reserved; false if this reservation is closed.
     */
    public synchronized boolean tryAdd(long added) {
        if (closed) {
            return false;
        }
        if (added > budget.holderBytes() - bytes) {
            budget.recordRefusal();
            return false;
        }
        if (!budget.tryReserve(added)) {
            return false;
        }
        bytes += added;
        return true;
    }

    /** Reserves bytes that are already in memory; the caller then asks whether it has to pause their source. */
    public synchronized void add(long added) {
        if (!closed) {
            budget.reserve(added);
            bytes += added;
        }
    }

    /** Releases a part of the bytes; at most those that are reserved. */
    public void subtract(long removed) {
        long released;
        synchronized (this) {
            released = Math.min(removed, bytes);
            bytes -= released;
        }
        if (released > 0) {
            budget.release(released);
        }
    }

    /**
     * Tells whether the source of the bytes has to pause since the budget is exhausted.
     *
     * @param resume Called once when the source may go on, if it has to pause; not called after {@link #close}.
     */
    public synchronized boolean pauses(Runnable resume) {
        return !closed && budget.pauses(this, resume);
    }

    public synchronized long bytes() {
        return bytes;
    }

    @Override
    public void close() {
        long released;
        synchronized (this) {
            if (closed) {
                return;
            }
            closed = true;
            released = bytes;
            bytes = 0;
        }
        budget.end(this, released);
    }
}
