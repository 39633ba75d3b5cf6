package org.cranberrygauge.proxy.admission;

import java.util.Optional;
import java.util.Set;
import org.cranberrygauge.proxy.configuration.ConfigurationView;
import org.cranberrygauge.proxy.configuration.Homes;
import org.cranberrygauge.proxy.configuration.KeyOwner;
import org.cranberrygauge.proxy.configuration.ProxyConfiguration;
import org.cranberrygauge.proxy.configuration.Route;

/**
 * Decides by configuration and key whether a request is admitted.
 *
 * <p>Invariants: a key is honoured only while the configuration has been confirmed within the bound for withdrawn keys.
 * A route or key is rejected as unknown only while the configuration has been confirmed within the bound for new ones,
 * since an older configuration may lack it. Stateless apart from its bounds and safe for use by several threads.
 *
 * @param maximumKeyAgeMillis The maximum age of the configuration at which keys are honoured, in milliseconds.
 * @param maximumUnknownAgeMillis The maximum age of the configuration at which routes and keys are rejected as unknown,
 *     in milliseconds.
 */
public record RequestAdmission(long maximumKeyAgeMillis, long maximumUnknownAgeMillis) {

    /** The least urgent value that can be sent to a backend server. */
    private static final int LOWEST_URGENCY = 9;

    /** The urgency levels by which routes differ within one customer priority. */
    private static final int URGENCY_LEVELS_PER_PRIORITY = 3;

    /**
     * Decides whether a request is admitted.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param nowWallMillis The current wall-clock time in milliseconds since the epoch.
     * @param host The value of the Host header.
     * @param path The path without the query.
     * @param key The key that the caller sent, if any.
     */
    public Decision decide(
            long nowMillis,
            long nowWallMillis,
            ConfigurationView view,
            String host,
            String path,
            Optional<String> key) {
        if (view.configuration().isEmpty()) {
            return Decision.rejected(RejectReason.NO_CONFIGURATION);
        }
        ProxyConfiguration configuration = view.configuration().get();
        boolean confirmed = view.isFresh(nowMillis, nowWallMillis, maximumUnknownAgeMillis);
        Optional<Route> route = configuration.route(host, path);
        if (route.isEmpty()) {
            return Decision.rejected(confirmed ? RejectReason.UNKNOWN_ROUTE : RejectReason.STALE_CONFIGURATION);
        }
        if (!configuration.needsKey(route.get())) {
            return Decision.admitted(route.get(), Optional.empty());
        }
        if (!view.isFresh(nowMillis, nowWallMillis, maximumKeyAgeMillis)) {
            return Decision.rejected(RejectReason.STALE_CONFIGURATION);
        }
        if (key.isEmpty()) {
            return Decision.rejected(RejectReason.NO_KEY);
        }
        Optional<KeyOwner> owner = configuration.owner(key.get());
        if (owner.isEmpty()) {
            return Decision.rejected(confirmed ? RejectReason.UNKNOWN_KEY : RejectReason.STALE_CONFIGURATION);
        }
        Decision admitted = Decision.admitted(route.get(), owner);
        return admitted.homes().isNowhere() ? Decision.rejected(RejectReason.NO_COMMON_HOME) : admitted;
    }

    /**
     * Computes the urgency that is sent to backend servers: the customer's priority first, then the route's. 0 is the
     * most urgent, 9 the least.
     */
    private static int urgencyOf(Route route, Optional<KeyOwner> owner) {
        int priority = owner.map(KeyOwner::priority)
                .filter(value -> value.isPresent())
                .map(value -> value.getAsInt())
                .orElse(route.priority());
        int routePriority = Math.min(URGENCY_LEVELS_PER_PRIORITY - 1, route.priority());
        return Math.max(0, Math.min(LOWEST_URGENCY, priority * URGENCY_LEVELS_PER_PRIORITY + routePriority));
    }

    /**
     * The outcome of admission.
     *
     * @param route The matched route; empty if the request is rejected.
     * @param customer The customer; empty if the request is rejected or its route requires no key.
     * @param urgency The urgency from 0, the most urgent, to 9.
     * @param homes The regions that the request may be sent to.
     * @param rejection The reason for a rejection; empty if the request is admitted.
     */
    public record Decision(
            Optional<Route> route,
            Optional<String> customer,
            int urgency,
            Homes homes,
            Optional<RejectReason> rejection) {

        static Decision admitted(Route route, Optional<KeyOwner> owner) {
            Homes homes = Homes.of(route.homes(), owner.map(KeyOwner::homes).orElse(Set.of()));
            return new Decision(
                    Optional.of(route),
                    owner.map(KeyOwner::customer),
                    urgencyOf(route, owner),
                    homes,
                    Optional.empty());
        }

        static Decision rejected(RejectReason reason) {
            return new Decision(
                    Optional.empty(), Optional.empty(), LOWEST_URGENCY, Homes.ANYWHERE, Optional.of(reason));
        }
    }
}
