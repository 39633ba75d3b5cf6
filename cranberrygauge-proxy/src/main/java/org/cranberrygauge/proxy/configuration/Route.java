package org.cranberrygauge.proxy.configuration;

import java.util.List;
import java.util.Set;

/**
 * The requests of one host and path prefix, and the pools that serve them. Immutable.
 *
 * @param name The name of the route.
 * @param host The host name in lower case.
 * @param pathPrefix The start of the path, with a slash at both ends.
 * @param timeoutMillis The maximum time until the final response, in milliseconds.
 * @param targetMillis The target latency in milliseconds.
 * @param priority The priority; 0 is the most urgent.
 * @param pools The pools that share the requests; at least one.
 * @param maximumAttempts The maximum number of backend servers to which one request is sent.
 * @param open Whether requests require no key.
 * @param homes The regions that requests may be sent to; empty if any.
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        long timeoutMillis,
        long targetMillis,
        int priority,
        List<WeightedPool> pools,
        int maximumAttempts,
        boolean open,
        Set<String> homes) {

    public Route {
        pools = List.copyOf(pools);
        homes = Set.copyOf(homes);
    }

    /** Returns this route with at most a number of attempts for each request. */
    public Route withMaximumAttempts(int maximum) {
        return maximum >= maximumAttempts
                ? this
                : new Route(
                        name,
                        host,
                        pathPrefix,
                        kind,
                        timeoutMillis,
                        targetMillis,
                        priority,
                        pools,
                        maximum,
                        open,
                        homes);
    }

    /**
     * Returns the name of the pool that serves a request.
     *
     * @param requestHash A hash of the request, which distributes requests over the pools by weight.
     */
    public String poolFor(int requestHash) {
        if (pools.size() == 1) {
            return pools.get(0).pool();
        }
        int total = pools.stream().mapToInt(WeightedPool::weight).sum();
        int remainder = total == 0 ? 0 : Math.floorMod(requestHash, total);
        for (WeightedPool weighted : pools) {
            remainder -= weighted.weight();
            if (remainder < 0) {
                return weighted.pool();
            }
        }
        return pools.get(0).pool();
    }
}
