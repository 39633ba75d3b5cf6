package org.cranberrygauge.proxy.exchange;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.util.List;
import java.util.Optional;
import org.cranberrygauge.decision.fairness.CustomerUse;
import org.cranberrygauge.decision.memory.Reservation;
import org.cranberrygauge.decision.quarantine.SuspectPart;
import org.cranberrygauge.decision.topology.StableHash;
import org.cranberrygauge.proxy.configuration.Homes;
import org.cranberrygauge.proxy.configuration.Pool;
import org.cranberrygauge.proxy.configuration.Route;
import org.cranberrygauge.proxy.configuration.RouteKind;
import org.cranberrygauge.proxy.exchange.HeaderCodec.CallerHeaders;

/**
 * An admitted request with its complete body.
 *
 * @param id The identifier of the request.
 * @param uri The path and query as the caller sent them.
 * @param host The value of the Host header.
 * @param callerHeaders The decoded headers.
 * @param customer The customer, if the route requires a key.
 * @param urgency The urgency from 0, the most urgent, to 9.
 * @param receivedMillis The monotonic time at which the request headers were read, in milliseconds.
 * @param deadlineMillis The monotonic time at which the final response is due, in milliseconds.
 * @param homes The regions that the request may be sent to.
 * @param forwarded Whether another host passed the request on, so that this one must not.
 * @param memory The memory of the body and of buffered responses; closed when the request has ended.
 */
public record ProxyRequest(
        String id,
        HttpMethod method,
        String uri,
        String host,
        MultiMap headers,
        Buffer body,
        CallerHeaders callerHeaders,
        Route route,
        Pool pool,
        Optional<String> customer,
        int urgency,
        long receivedMillis,
        long deadlineMillis,
        Homes homes,
        boolean forwarded,
        Reservation memory) {

    /** The fraction of the time until its deadline that a request may be queued. */
    private static final double QUEUEING_FRACTION = 0.4;

    /** The multiple of the usual response time that a request keeps in reserve; few take longer. */
    private static final double RESERVED_RESPONSES = 4;

    /** The fraction of the time until the target latency that a request may wait for a plain service. */
    private static final double WAITING_FRACTION = 0.5;

    /** Returns the monotonic time until which the first event meets the route's target latency, in milliseconds. */
    public long onTimeMillis() {
        return receivedMillis + route.targetMillis();
    }

    /**
     * Returns the monotonic time by which a request of a plain service has to be sent to be answered in time, in
     * milliseconds.
     *
     * @param responseMillis The usual response time of the service; 0 if it is unknown.
     */
    public long startsByMillis(double responseMillis) {
        long byFraction = receivedMillis + (long) (route.targetMillis() * WAITING_FRACTION);
        return Math.min(byFraction, onTimeMillis() - (long) (responseMillis * RESERVED_RESPONSES));
    }

    /**
     * Returns the monotonic time by which the response is expected if the request is sent now, in milliseconds: its deadline
     * unless few responses take so long.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param responseMillis The usual response time of the service; 0 if it is unknown.
     */
    long answeredByMillis(long nowMillis, double responseMillis) {
        if (route.kind().streams() || pool.engine().isPresent()) {
            return deadlineMillis;
        }
        long expectedMillis = Math.max(route.targetMillis(), (long) (responseMillis * RESERVED_RESPONSES));
        return Math.min(deadlineMillis, nowMillis + expectedMillis);
    }

    /** Returns the monotonic time at which the request expires in the queue, in milliseconds. */
    public long expiresAtMillis() {
        return receivedMillis + (long) ((deadlineMillis - receivedMillis) * QUEUEING_FRACTION);
    }

    /** Returns the cost of the request relative to others of its pool: the tokens of its prompt and output, or 1. */
    public long cost() {
        return Math.max(
                1, callerHeaders.prompt().inputTokens() + callerHeaders.prompt().outputTokens());
    }

    /** Returns the customer among which scarce capacity is divided. */
    String fairnessCustomer() {
        return customer.orElse(CustomerUse.NO_CUSTOMER);
    }

    /** Tells whether the caller resumes a stream of which it has some events. */
    public boolean resumesStream() {
        return route.kind() == RouteKind.RESUMABLE_STREAM
                && (callerHeaders.firstRequestId().isPresent()
                        || callerHeaders.lastEventId().isPresent());
    }

    /** Returns what may crash a backend server that runs this request: the shared parts of its prompt, and all of it. */
    List<SuspectPart> suspects() {
        List<SuspectPart> suspects = callerHeaders.prompt().suspects();
        suspects.add(new SuspectPart(fingerprint(), SuspectPart.WHOLE_REQUEST));
        return suspects;
    }

    /** Returns a hash of customer, URI and body, which identifies retries of the same request by the caller. */
    private long fingerprint() {
        long hash = StableHash.update(StableHash.START, customer.orElse("") + '\n' + uri + '\n');
        return StableHash.update(hash, body.getBytes());
    }
}
