package org.cranberrygauge.gateway.call;

import io.vertx.core.Context;
import io.vertx.core.http.HttpClientResponse;
import org.cranberrygauge.decision.memory.ByteBudget;
import org.cranberrygauge.decision.memory.Reservation;

/**
 * The memory in which a gateway collects responses that it passes on as a whole.
 *
 * <p>Invariants: no response takes more than {@link #MAX_RESPONSE_BYTES}; while all of them together take up the memory, only
 * one of them is read on. Thread-safe.
 */
public final class ResponseMemory {

    /** The maximum size of one response. */
    static final int MAX_RESPONSE_BYTES = 16 << 20;

    /** The fraction of the heap that responses may use. Buffers double when they grow, so that each byte may take two of it. */
    private static final double HEAP_FRACTION = 0.25;

    private final ByteBudget budget;

    /** @param totalBytes The maximum size of all responses that are being read, but for the last part of one of them. */
    public ResponseMemory(long totalBytes) {
        budget = new ByteBudget(totalBytes, MAX_RESPONSE_BYTES, MAX_RESPONSE_BYTES);
    }

    /** Returns the bytes that the responses of a process may use. */
    public static long defaultBytes(Runtime runtime) {
        return (long) (runtime.maxMemory() * HEAP_FRACTION);
    }

    /** Returns an empty reservation for one response. */
    Reservation open() {
        return budget.open();
    }

    /**
     * Reserves memory for bytes of a response that have arrived, and stops reading the response while the memory is used up.
     *
     * @param context The context of the response.
     */
    static void add(Reservation reservation, int bytes, HttpClientResponse response, Context context) {
        reservation.add(bytes);
        if (reservation.pauses(() -> context.runOnContext(ignored -> response.resume()))) {
            response.pause();
        }
    }
}
