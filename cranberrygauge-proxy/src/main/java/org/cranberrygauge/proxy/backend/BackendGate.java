package org.cranberrygauge.proxy.backend;

import java.util.Optional;
import java.util.function.Consumer;
import org.cranberrygauge.decision.backend.Availability;
import org.cranberrygauge.decision.backend.Availability.Kind;
import org.cranberrygauge.decision.backend.BackendStatements;
import org.cranberrygauge.decision.backend.HeldPermits;

/**
 * Tells whether this host may send a request to a backend server now, by all that the server has stated of itself.
 *
 * <p>Invariant: each request to a server that states a limit uses a permit of its own. Thread-safe.
 */
public final class BackendGate {

    private final BackendStatements statements;

    private final HeldPermits permits;

    /** Requests permits for an incarnation from the host that issues them. */
    private final Consumer<String> permitRequests;

    public BackendGate(BackendStatements statements, HeldPermits permits, Consumer<String> permitRequests) {
        this.statements = statements;
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
        return stated.kind() == Kind.NEEDS_PERMIT && permits.has(nowMillis, backend.incarnation())
                ? new Availability(Kind.OPEN, nowMillis)
                : stated;
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
     * Records that a request is about to be sent, and uses a permit if the server states a limit.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    public void pass(long nowMillis, Backend backend) {
        statements.recordSent(backend.incarnation());
        if (statements.limit(backend.incarnation()).isPresent()) {
            permits.use(nowMillis, backend.incarnation());
        }
    }
}
