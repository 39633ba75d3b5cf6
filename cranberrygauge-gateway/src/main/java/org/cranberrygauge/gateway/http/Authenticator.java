package org.cranberrygauge.gateway.http;

import io.vertx.core.http.HttpServerRequest;
import java.util.Comparator;
import java.util.Optional;
import org.cranberrygauge.decision.configuration.KeyIndex;
import org.cranberrygauge.gateway.call.Caller;
import org.cranberrygauge.model.configuration.Configuration;
import org.cranberrygauge.model.customer.Customer;
import org.cranberrygauge.model.customer.KeyDigest;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.model.error.ErrorCode;
import org.cranberrygauge.model.service.ServiceClass;
import org.cranberrygauge.runtime.state.LogDerivedState;
import org.cranberrygauge.runtime.state.ProcessState;

/**
 * Finds out whose request it is.
 *
 * <p>Invariants: a key is compared by its digest only; a key that is not in force gives no caller. Safe for use by several
 * threads.
 */
final class Authenticator {

    /** The header by which a caller chooses a class. */
    static final String CLASS_HEADER = "X-Service-Class";

    /** The start of the header with the key. */
    private static final String BEARER = "Bearer ";

    /** The blackboard. */
    private final ProcessState blackboard;

    /**
     * Creates an authenticator.
     *
     * @param blackboard The blackboard.
     */
    Authenticator(ProcessState blackboard) {
        this.blackboard = blackboard;
    }

    /**
     * Reads the key of a request.
     *
     * @param request The request.
     * @return The key, or nothing.
     */
    static Optional<String> key(HttpServerRequest request) {
        String header = request.getHeader("Authorization");
        if (header == null || !header.regionMatches(true, 0, BEARER, 0, BEARER.length())) {
            return Optional.empty();
        }
        return Optional.of(header.substring(BEARER.length()).trim());
    }

    /**
     * Finds the customer of a request.
     *
     * @param request The request.
     * @return The owner of the key.
     * @throws CranberrygaugeException If the key is missing, unknown or withdrawn.
     */
    Customer customer(HttpServerRequest request) throws CranberrygaugeException {
        String key = key(request)
                .orElseThrow(() -> new CranberrygaugeException(
                        ErrorCode.INVALID_KEY, "a key is required as Authorization: Bearer KEY"));
        return blackboard
                .log()
                .keys()
                .owner(KeyDigest.of(key))
                .map(KeyIndex.Owner::customer)
                .orElseThrow(
                        () -> new CranberrygaugeException(ErrorCode.INVALID_KEY, "the key is unknown or withdrawn"));
    }

    /**
     * Finds the caller of a completion.
     *
     * @param request The request.
     * @return The caller with the class it chose, else the highest of its classes.
     * @throws CranberrygaugeException If the key or the class does not allow the request.
     */
    Caller caller(HttpServerRequest request) throws CranberrygaugeException {
        Customer customer = customer(request);
        LogDerivedState sections = blackboard.log();
        Configuration configuration = sections.configuration().current().configuration();
        String wanted = request.getHeader(CLASS_HEADER);
        ServiceClass chosen = configuration.classes().stream()
                .filter(candidate -> customer.classes().contains(candidate.name()))
                .filter(candidate -> wanted == null || candidate.name().equals(wanted))
                .min(Comparator.comparingInt(ServiceClass::tier))
                .orElseThrow(() -> new CranberrygaugeException(
                        ErrorCode.FORBIDDEN,
                        wanted == null ? "the customer has no class" : "the customer may not use class " + wanted));
        return new Caller(customer, KeyDigest.of(key(request).orElseThrow()), chosen);
    }
}
