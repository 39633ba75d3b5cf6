package org.cranberrygauge.proxy.configuration;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * One version of the configuration, with its routes indexed by host and path prefix.
 *
 * <p>Immutable and safe for use by several threads.
 */
public final class ProxyConfiguration {

    /** The separator of path segments, which ends each prefix. */
    private static final char SLASH = '/';

    /** The version. */
    private final long version;

    /** The routes by host, each by its prefix. */
    private final Map<String, Map<String, Route>> routes;

    /** The pools by name. */
    private final Map<String, Pool> pools;

    /** The limits for callers. */
    private final CallerLimits limits;

    /** The owners by key. */
    private final Map<String, KeyOwner> keys;

    /** Whether there are customers, so that routes that aren't open need a key. */
    private final boolean keysRequired;

    /**
     * Creates a configuration.
     *
     * @param version The version.
     * @param routes The routes.
     * @param pools The pools by name.
     * @param limits The limits for callers.
     * @param keys The owners by key.
     * @param keysRequired Whether there are customers, so that routes that aren't open need a key.
     */
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
        this.limits = limits;
        this.keys = Map.copyOf(keys);
        this.keysRequired = keysRequired;
    }

    /**
     * Returns the version.
     *
     * @return The version.
     */
    public long version() {
        return version;
    }

    /**
     * Returns the limits for callers.
     *
     * @return The limits.
     */
    public CallerLimits limits() {
        return limits;
    }

    /**
     * Returns the pools.
     *
     * @return The pools by name.
     */
    public Map<String, Pool> pools() {
        return pools;
    }

    /**
     * Finds the route with the longest prefix of a path.
     *
     * @param hostHeader The host that the caller asks for, with or without a port.
     * @param path The path without its query.
     * @return The route, or nothing if none matches.
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

    /**
     * Tells whether a route needs a key.
     *
     * @param route The route.
     * @return Whether a key is needed.
     */
    public boolean needsKey(Route route) {
        return keysRequired && !route.open();
    }

    /**
     * Finds the owner of a key.
     *
     * @param key The key.
     * @return The owner, or nothing if no customer holds the key.
     */
    public Optional<KeyOwner> owner(String key) {
        return Optional.ofNullable(keys.get(key));
    }

    /**
     * Returns the name in a host header.
     *
     * @param hostHeader The header's value.
     * @return The name without a port, in lower case.
     */
    private static String hostName(String hostHeader) {
        int colon = hostHeader.indexOf(':');
        String name = colon < 0 ? hostHeader : hostHeader.substring(0, colon);
        return name.toLowerCase(Locale.ROOT);
    }
}
