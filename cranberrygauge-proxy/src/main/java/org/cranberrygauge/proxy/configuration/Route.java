package org.cranberrygauge.proxy.configuration;

import java.util.List;

/**
 * Where requests of one host and path prefix go.
 *
 * @param name The name of the route.
 * @param host The host name that callers ask for, in lower case.
 * @param pathPrefix The start of the path, with a slash at both ends.
 * @param kind The kind of request.
 * @param timeoutMillis The longest time that a caller is kept waiting, in milliseconds.
 * @param targetMillis The time within which an answer is on time, in milliseconds.
 * @param priority The rank of the route; 0 is the most urgent.
 * @param pools The pools that share the requests; at least one.
 * @param maximumAttempts The highest number of backend servers that one request may be sent to.
 * @param open Whether requests need no key.
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
        boolean open) {

    /** Copies the list. */
    public Route {
        pools = List.copyOf(pools);
    }

    /**
     * Returns the pool that takes a request.
     *
     * @param requestHash A hash of the request, which spreads requests over the pools by weight.
     * @return The name of the pool.
     */
    public String poolFor(int requestHash) {
        if (pools.size() == 1) {
            return pools.get(0).pool();
        }
        int total = pools.stream().mapToInt(WeightedPool::weight).sum();
        int remainder = total == 0 ? 0 : Math.floorMod(requestHash, total);
        for (WeightedPool part : pools) {
            remainder -= part.weight();
            if (remainder < 0) {
                return part.pool();
            }
        }
        return pools.get(0).pool();
    }
}
