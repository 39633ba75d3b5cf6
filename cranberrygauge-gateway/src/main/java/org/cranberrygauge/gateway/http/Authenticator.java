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
import org.cranberrygauge.runtime.blackboard.Blackboard;
import org.cranberrygauge.runtime.blackboard.LogDerivedState;

/**
 * Determines the customer and service class of a request.
 *
 * <p>Invariants: a key is only ever compared by its digest; a key that is not in force is never accepted. Safe for use
 * by several threads.
 */
final class Authenticator {

    /** The request header by which a caller selects a service class. */
    static final String CLASS_HEADER = "X-Service-Class";

    private static final String BEARER = "Bearer ";

    private final Blackboard blackboard;

    Authenticator(Blackboard blackboard) {
        this.blackboard = blackboard;
    }

    /** Returns the bearer token of a request, or nothing. */
    static Optional<String> key(HttpServerRequest request) {
        String header = request.getHeader("Authorization");
        if (header == null || !header.regionMatches(true, 0, BEARER, 0, BEARER.length())) {
            return Optional.empty();
        }
        return Optional.of(header.substring(BEARER.length()).trim());
    }

    /**
     * Returns the owner of the key of a request.
     *
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
     * Returns the caller of a completion request, in the selected class or else in the customer's class with the
     * highest priority.
     *
     * @throws CranberrygaugeException If the key is not valid or does not allow the selected class.
     */
    Caller caller(HttpServerRequest request) throws CranberrygaugeException {
        Customer customer = customer(request);
        LogDerivedState logState = blackboard.log();
        Configuration configuration = logState.configuration().current().configuration();
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
