package org.cranberrygauge.proxy.configuration;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** One version of the configuration, with routes indexed by host and path prefix. Immutable and thread-safe. */
public final class ProxyConfiguration {

    /** The separator of path segments; every path prefix ends with it. */
    private static final char SLASH = '/';

    private final long version;

    /** By host and path prefix. */
    private final Map<String, Map<String, Route>> routes;

    private final Map<String, Pool> pools;

    private final long lowestTargetMillis;

    private final CallerLimits limits;

    /** The owners by key. */
    private final Map<String, KeyOwner> keys;

    /** Whether the configuration has customers, so that all routes but open ones require a key. */
    private final boolean keysRequired;

    /** @param keysRequired Whether the configuration has customers, so that all routes but open ones require a key. */
    public ProxyConfiguration(
            long version,
            List<Route> routes,
            Map<String, Pool> pools,
            CallerLimits limits,
            Map<String, KeyOwner> keys,
            boolean keysRequired) {
        this.version = version;
        this.routes = new HashMap<>();
        for (Route route : routes) {
            this.routes.computeIfAbsent(route.host(), host -> new HashMap<>()).put(route.pathPrefix(), route);
        }
        this.pools = Map.copyOf(pools);
        this.lowestTargetMillis = routes.stream()
                .mapToLong(Route::targetMillis)
                .filter(target -> target > 0)
                .min()
                .orElse(0);
        this.limits = limits;
        this.keys = Map.copyOf(keys);
        this.keysRequired = keysRequired;
    }

    public long version() {
        return version;
    }

    /** Returns the lowest target latency of the routes in milliseconds, or 0 if no route has one. */
    public long lowestTargetMillis() {
        return lowestTargetMillis;
    }

    public CallerLimits limits() {
        return limits;
    }

    public Map<String, Pool> pools() {
        return pools;
    }

    /**
     * Returns the route with the longest matching path prefix, or empty if none matches.
     *
     * @param hostHeader The value of the Host header, with or without a port.
     * @param path The path without the query.
     */
    public Optional<Route> route(String hostHeader, String path) {
        Map<String, Route> byPrefix = routes.get(hostName(hostHeader));
        if (byPrefix == null) {
            return Optional.empty();
        }
        for (int slash = path.lastIndexOf(SLASH); slash >= 0; slash = path.lastIndexOf(SLASH, slash - 1)) {
            Route route = byPrefix.get(path.substring(0, slash + 1));
            if (route != null) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    public boolean needsKey(Route route) {
        return keysRequired && !route.open();
    }

    /** Returns the owner of a key, or empty if the key is unknown. */
    public Optional<KeyOwner> owner(String key) {
        return Optional.ofNullable(keys.get(key));
    }

    /** Returns the host name of a Host header in lower case, without the port. */
    private static String hostName(String hostHeader) {
        int colon = hostHeader.indexOf(':');
        String name = colon < 0 ? hostHeader : hostHeader.substring(0, colon);
        return name.toLowerCase(Locale.ROOT);
    }
}
