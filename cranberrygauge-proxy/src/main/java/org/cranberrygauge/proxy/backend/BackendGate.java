package org.cranberrygauge.proxy.backend;

import java.util.function.Consumer;
import org.cranberrygauge.decision.limit.HeldPermits;
import org.cranberrygauge.decision.limit.StatedLimits;

/**
 * Tells whether this host may send a request to a backend server now.
 *
 * <p>Invariant: each request to a server that states a limit uses a permit of its own. Thread-safe.
 */
public final class BackendGate {

    private final StatedLimits limits;

    private final HeldPermits permits;

    /** Requests permits for an incarnation from the host that issues them. */
    private final Consumer<String> permitRequests;

    public BackendGate(StatedLimits limits, HeldPermits permits, Consumer<String> permitRequests) {
        this.limits = limits;
        this.permits = permits;
        this.permitRequests = permitRequests;
    }

    /**
     * Tells whether a request may be sent now.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    public boolean isOpen(long nowMillis, Backend backend) {
        return limits.limit(backend.incarnation()).isEmpty() || permits.has(nowMillis, backend.incarnation());
    }

    /**
     * Tells whether it is worthwhile to request a permit, which it is not shortly after an unfulfilled request.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    public boolean mayRequestPermit(long nowMillis, Backend backend) {
        return permits.mayRequest(nowMillis, backend.incarnation());
    }

    /**
     * Requests a permit, which arrives later if it is issued.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    public void requestPermit(long nowMillis, Backend backend) {
        permits.recordRequest(nowMillis, backend.incarnation());
        permitRequests.accept(backend.incarnation());
    }

    /**
     * Uses a permit for a request that is about to be sent, if the server states a limit.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    public void pass(long nowMillis, Backend backend) {
        if (limits.limit(backend.incarnation()).isPresent()) {
            permits.use(nowMillis, backend.incarnation());
        }
    }
}
