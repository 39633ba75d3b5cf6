package org.cranberrygauge.proxy.backend;

import java.util.Optional;
import java.util.function.Consumer;
import org.cranberrygauge.decision.backend.Availability;
import org.cranberrygauge.decision.backend.Availability.Kind;
import org.cranberrygauge.decision.backend.BackendLimits;
import org.cranberrygauge.decision.backend.BackendStatements;
import org.cranberrygauge.decision.backend.HeldPermits;

/**
 * Tells whether this host may send a request to a backend server now, by all that is known of the server.
 *
 * <p>Invariant: each request to a server with a limit uses a permit of its own. Thread-safe.
 */
public final class BackendGate {

    private final BackendStatements statements;

    private final BackendLimits limits;

    private final HeldPermits permits;

    /** Requests permits for an incarnation from the host that issues them. */
    private final Consumer<String> permitRequests;

    public BackendGate(BackendLimits limits, HeldPermits permits, Consumer<String> permitRequests) {
        this.statements = limits.statements();
        this.limits = limits;
        this.permits = permits;
        this.permitRequests = permitRequests;
    }

    /**
     * Tells whether a request may be sent now, and if not, why not and from when.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param version The software version at which the stream began, if the request goes on with one.
     */
    public Availability availability(long nowMillis, Backend backend, Optional<String> version) {
        if (version.isPresent() && !version.get().equals(backend.version())) {
            return new Availability(Kind.OTHER_VERSION, Long.MAX_VALUE);
        }
        Availability stated = statements.availability(nowMillis, backend.incarnation());
        boolean cold = stated.isOpen()
                && limits.perSecond(nowMillis, backend.incarnation()).isPresent();
        if (!cold && stated.kind() != Kind.NEEDS_PERMIT) {
            return stated;
        }
        Kind kind = permits.has(nowMillis, backend.incarnation()) ? Kind.OPEN : Kind.NEEDS_PERMIT;
        return new Availability(kind, nowMillis);
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
     * Records that a request is about to be sent, and uses a permit if the server has a limit.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    public void pass(long nowMillis, Backend backend) {
        statements.recordSent(backend.incarnation());
        if (limits.perSecond(nowMillis, backend.incarnation()).isPresent()) {
            permits.use(nowMillis, backend.incarnation());
        }
    }
}
