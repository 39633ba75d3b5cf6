package org.cranberrygauge.proxy.admission;

import java.util.Optional;
import org.cranberrygauge.proxy.configuration.ConfigurationView;
import org.cranberrygauge.proxy.configuration.KeyOwner;
import org.cranberrygauge.proxy.configuration.ProxyConfiguration;
import org.cranberrygauge.proxy.configuration.Route;

/**
 * Decides by configuration and key whether a request is taken.
 *
 * <p>Invariants: a key is honoured only while the configuration is confirmed within the bound for withdrawn keys; a route or
 * key is called unknown only while the configuration is confirmed within the bound for new ones, since an older one may lack
 * it. Stateless apart from its bounds and safe for use by several threads.
 *
 * @param withdrawalBoundMillis The age of the configuration up to which keys are honoured, in milliseconds.
 * @param unknownBoundMillis The age of the configuration up to which routes and keys are called unknown, in milliseconds.
 */
public record RequestAdmission(long withdrawalBoundMillis, long unknownBoundMillis) {

    /** The lowest urgency that can be told to a backend server. */
    private static final int LOWEST_URGENCY = 9;

    /** The steps of urgency within a customer's priority. */
    private static final int ROUTE_STEPS = 3;

    /**
     * Decides whether a request is taken.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param nowWallMillis The present time of day in milliseconds of the epoch.
     * @param view The configuration.
     * @param host The host that the caller asks for.
     * @param path The path without its query.
     * @param key The caller's key.
     * @return The verdict.
     */
    public Verdict decide(
            long nowMillis,
            long nowWallMillis,
            ConfigurationView view,
            String host,
            String path,
            Optional<String> key) {
        if (view.configuration().isEmpty()) {
            return Verdict.refused(RejectReason.NO_CONFIGURATION);
        }
        ProxyConfiguration configuration = view.configuration().get();
        boolean current = view.isFresh(nowMillis, nowWallMillis, unknownBoundMillis);
        Optional<Route> route = configuration.route(host, path);
        if (route.isEmpty()) {
            return Verdict.refused(current ? RejectReason.UNKNOWN_ROUTE : RejectReason.STALE_CONFIGURATION);
        }
        if (!configuration.needsKey(route.get())) {
            return Verdict.admitted(route.get(), Optional.empty(), urgency(route.get(), Optional.empty()));
        }
        if (!view.isFresh(nowMillis, nowWallMillis, withdrawalBoundMillis)) {
            return Verdict.refused(RejectReason.STALE_CONFIGURATION);
        }
        if (key.isEmpty()) {
            return Verdict.refused(RejectReason.NO_KEY);
        }
        Optional<KeyOwner> owner = configuration.owner(key.get());
        if (owner.isEmpty()) {
            return Verdict.refused(current ? RejectReason.UNKNOWN_KEY : RejectReason.STALE_CONFIGURATION);
        }
        return Verdict.admitted(route.get(), owner.map(KeyOwner::customer), urgency(route.get(), owner));
    }

    /**
     * Returns the urgency that backend servers are told: the customer's priority first, then the route's.
     *
     * @param route The route.
     * @param owner The owner of the key.
     * @return The urgency from 0, the most urgent, to 9.
     */
    private static int urgency(Route route, Optional<KeyOwner> owner) {
        int first = owner.map(KeyOwner::priority)
                .filter(priority -> priority.isPresent())
                .map(priority -> priority.getAsInt())
                .orElse(route.priority());
        int second = Math.min(ROUTE_STEPS - 1, route.priority());
        return Math.max(0, Math.min(LOWEST_URGENCY, first * ROUTE_STEPS + second));
    }

    /**
     * What is decided about a request.
     *
     * @param route The route, if the request is taken.
     * @param customer The customer, if the request is taken and its route needs a key.
     * @param urgency The urgency for backend servers.
     * @param rejection Why the request isn't taken, or nothing if it is.
     */
    public record Verdict(
            Optional<Route> route, Optional<String> customer, int urgency, Optional<RejectReason> rejection) {

        /**
         * Creates the verdict on a request that is taken.
         *
         * @param route The route.
         * @param customer The customer.
         * @param urgency The urgency.
         * @return The verdict.
         */
        static Verdict admitted(Route route, Optional<String> customer, int urgency) {
            return new Verdict(Optional.of(route), customer, urgency, Optional.empty());
        }

        /**
         * Creates the verdict on a request that isn't taken.
         *
         * @param reason The reason.
         * @return The verdict.
         */
        static Verdict refused(RejectReason reason) {
            return new Verdict(Optional.empty(), Optional.empty(), LOWEST_URGENCY, Optional.of(reason));
        }
    }
}
