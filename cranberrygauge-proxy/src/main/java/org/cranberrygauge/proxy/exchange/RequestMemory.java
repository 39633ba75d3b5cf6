package org.cranberrygauge.proxy.exchange;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.cranberrygauge.decision.memory.ByteBudget;
import org.cranberrygauge.decision.memory.Reservation;
import org.cranberrygauge.runtime.event.EventLog;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * The memory that the requests of a host use: bodies, buffered responses, partial events, and the bytes that callers
 * have not read yet. While memory is refused, callers that have stopped reading are disconnected. Not thread-safe.
 */
public final class RequestMemory {

    /**
     * The fraction of the heap that requests may use. Buffers double when they grow, so that a reserved byte takes up to
     * two bytes of heap, and the heap also holds everything else.
     */
    private static final double HEAP_FRACTION = 0.25;

    /** The fraction of the budget that the body of one request may use, so that no single body uses up all of it. */
    private static final double HOLDER_FRACTION = 0.5;

    private final ByteBudget budget;

    private final TimeSource time;

    private final ExchangeMetrics metrics;

    private final EventLog events;

    /** The responses with bytes that their callers have not read yet, the oldest first. */
    private final Set<CallerResponse> unread = new LinkedHashSet<>();

    /** The number of responses that are complete and not wholly written; read by any thread. */
    private final AtomicInteger unwritten = new AtomicInteger();

    /** The refusals up to the last update. */
    private long knownRefusals;

    /** @param totalBytes The bytes that all requests together may use. */
    public RequestMemory(long totalBytes, TimeSource time, ExchangeMetrics metrics, EventLog events) {
        this.budget = new ByteBudget(
                totalBytes, Math.max(1, (long) (totalBytes * HOLDER_FRACTION)), BackendAttempt.MAXIMUM_BUFFERED_BYTES);
        this.time = time;
        this.metrics = metrics;
        this.events = events;
    }

    /** Returns the bytes that the requests of a process may use. */
    public static long defaultBytes(Runtime runtime) {
        return (long) (runtime.maxMemory() * HEAP_FRACTION);
    }

    /**
     * Disconnects the callers that have stopped reading if memory was refused since the last update. Releases the bytes
     * of callers that have disconnected, so that this does not depend on a notification for each dropped write.
     */
    public void update() {
        long refusals = budget.refusals();
        boolean refused = refusals != knownRefusals || budget.hasWaiting();
        knownRefusals = refusals;
        long now = time.monotonicMillis();
        for (CallerResponse response : List.copyOf(unread)) {
            if (!response.isOpen()) {
                response.release();
            } else if (refused && response.isStalled(now)) {
                metrics.recordStalledCaller();
                events.emit(new ExchangeEvents.StalledCallerDisconnected(
                        response.requestId(), response.unreadBytes(), response.stalledMillis(now)));
                response.disconnect();
            }
        }
    }

    public long reservedBytes() {
        return budget.reservedBytes();
    }

    /** Returns the number of responses that are complete and not wholly written to their callers. */
    public int unwrittenResponses() {
        return unwritten.get();
    }

    void addUnwritten() {
        unwritten.incrementAndGet();
    }

    void removeUnwritten() {
        unwritten.decrementAndGet();
    }

    Reservation open() {
        return budget.open();
    }

    long nowMillis() {
        return time.monotonicMillis();
    }

    void addUnread(CallerResponse response) {
        unread.add(response);
    }

    void removeUnread(CallerResponse response) {
        unread.remove(response);
    }
}
