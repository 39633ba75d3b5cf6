package org.cranberrygauge.proxy.exchange;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.util.Optional;
import org.cranberrygauge.decision.topology.StableHash;
import org.cranberrygauge.proxy.configuration.Pool;
import org.cranberrygauge.proxy.configuration.Route;
import org.cranberrygauge.proxy.exchange.HeaderCodec.CallerHeaders;

/**
 * A request that was taken, with its whole body.
 *
 * @param id The identifier.
 * @param method The method.
 * @param uri The path and query as the caller sent them.
 * @param host The host that the caller asks for.
 * @param headers The caller's headers.
 * @param body The body.
 * @param head What the caller says in its headers.
 * @param route The route.
 * @param pool The pool that serves it.
 * @param customer The customer, if the route needs a key.
 * @param urgency The urgency for backend servers.
 * @param receivedMillis The monotonic time at which the head was read, in milliseconds.
 * @param endMillis The monotonic time at which the final answer is due, in milliseconds.
 */
public record ProxyRequest(
        String id,
        HttpMethod method,
        String uri,
        String host,
        MultiMap headers,
        Buffer body,
        CallerHeaders head,
        Route route,
        Pool pool,
        Optional<String> customer,
        int urgency,
        long receivedMillis,
        long endMillis) {

    /** The part of its time that a request may wait for room. */
    private static final double WAITING_PART = 0.4;

    /**
     * Returns the time up to which the first event is on time.
     *
     * @return The monotonic time in milliseconds.
     */
    public long onTimeMillis() {
        return receivedMillis + route.targetMillis();
    }

    /**
     * Returns the time up to which the request may wait for room.
     *
     * @return The monotonic time in milliseconds.
     */
    public long giveUpMillis() {
        return receivedMillis + (long) ((endMillis - receivedMillis) * WAITING_PART);
    }

    /**
     * Returns a hash by which a repeat of the same request by the same customer is recognised.
     *
     * @return The hash.
     */
    public long fingerprint() {
        long hash = StableHash.update(StableHash.START, customer.orElse("") + '\n' + uri + '\n');
        for (int index = 0; index < body.length(); index++) {
            hash = StableHash.update(hash, body.getByte(index));
        }
        return hash;
    }
}
