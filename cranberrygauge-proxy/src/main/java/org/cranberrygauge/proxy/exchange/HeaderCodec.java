package org.cranberrygauge.proxy.exchange;

import io.vertx.core.MultiMap;
import java.util.Optional;
import java.util.OptionalLong;
import org.cranberrygauge.decision.backend.BackendStatement;
import org.cranberrygauge.proxy.routing.Prompt;

/** Translates between HTTP headers and their meaning. Implementations are stateless and thread-safe. */
public interface HeaderCodec {

    /** Decodes the headers of a caller's request. */
    CallerHeaders decodeCaller(MultiMap headers);

    /**
     * Writes the headers of a request to a backend server: the caller's, except those that are hop-by-hop or reserved
     * for the proxy, and the proxy's own.
     *
     * @param target Receives the headers.
     */
    void encodeBackend(MultiMap callerHeaders, BackendHeaders proxyHeaders, MultiMap target);

    /** Tells whether the headers of a backend server's response name the request that it answers. */
    boolean namesRequest(MultiMap responseHeaders);

    /** Decodes the status and the headers of a backend server's response. */
    BackendResponseHeaders decodeResponse(int status, MultiMap headers);

    /**
     * Copies the headers of a backend server's response that are forwarded to the caller.
     *
     * @param target Receives the headers.
     */
    void copyResponse(MultiMap responseHeaders, MultiMap target);

    /** Copies the headers of a caller's request that another host needs, without those of one connection. */
    void copyRequest(MultiMap callerHeaders, MultiMap target);

    /**
     * The decoded headers of a caller's request.
     *
     * @param requestId The identifier of the request; a caller uses a new one for each retry.
     * @param remainingMillis The time until the caller's deadline in milliseconds.
     * @param key The key that the caller sent.
     * @param lastEventId The event after which a stream is to be resumed.
     * @param firstRequestId The request of the same caller that brought the first event of the stream to be resumed.
     * @param prompt The description of the prompt; {@link Prompt#NONE} if there is none.
     */
    record CallerHeaders(
            Optional<String> requestId,
            OptionalLong remainingMillis,
            Optional<String> key,
            Optional<String> lastEventId,
            Optional<String> firstRequestId,
            Prompt prompt) {}

    /**
     * The proxy's own headers for a request to a backend server.
     *
     * @param requestId The identifier of the request.
     * @param backendId The identifier of the intended backend server; another one at the same address rejects the
     *     request.
     * @param remainingMillis The time until the deadline in milliseconds.
     * @param customer The customer, if the route requires a key.
     * @param urgency The urgency from 0, the most urgent, to 9.
     * @param lastEventId The event after which a stream is to be resumed.
     */
    record BackendHeaders(
            String requestId,
            String backendId,
            long remainingMillis,
            Optional<String> customer,
            int urgency,
            Optional<String> lastEventId) {}

    /**
     * The decoded headers of a backend server's response.
     *
     * @param requestId The identifier of the request that it belongs to.
     * @param notRun Whether the backend server states that it did not run the request.
     * @param signature Whether the response carries the signature of a backend server.
     * @param statement What the backend server states of itself.
     */
    record BackendResponseHeaders(
            Optional<String> requestId, boolean notRun, boolean signature, BackendStatement statement) {}
}
