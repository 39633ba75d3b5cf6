package org.cranberrygauge.proxy.exchange;

import io.vertx.core.MultiMap;
import java.util.Optional;
import java.util.OptionalLong;
import org.cranberrygauge.proxy.routing.Prompt;

/**
 * Translates between headers on the wire and what they mean.
 *
 * <p>Implementations are stateless and safe for use by several threads.
 */
public interface HeaderCodec {

    /**
     * Reads what a caller says in its headers.
     *
     * @param headers The headers.
     * @return What they mean.
     */
    CallerHeaders readCaller(MultiMap headers);

    /**
     * Writes the headers of a request to a backend server: the caller's, except those that concern one connection or belong
     * to the proxy, and the proxy's own.
     *
     * @param callerHeaders The headers of the caller.
     * @param head What the proxy says.
     * @param target The headers to write.
     */
    void writeBackend(MultiMap callerHeaders, BackendHeaders head, MultiMap target);

    /**
     * Reads what a backend server says in the headers of its answer.
     *
     * @param headers The headers.
     * @return What they mean.
     */
    BackendResponseHeaders readAnswer(MultiMap headers);

    /**
     * Copies the headers of an answer that are passed on to the caller.
     *
     * @param answerHeaders The headers of the answer.
     * @param target The headers to write.
     */
    void copyAnswer(MultiMap answerHeaders, MultiMap target);

    /**
     * What a caller says in its headers.
     *
     * @param requestId The identifier of this request, new for each repeat by the caller.
     * @param remainingMillis The time that the caller waits, in milliseconds.
     * @param key The caller's key.
     * @param lastEventId The event after which a stream shall go on.
     * @param prompt The prompt.
     */
    record CallerHeaders(
            Optional<String> requestId,
            OptionalLong remainingMillis,
            Optional<String> key,
            Optional<String> lastEventId,
            Prompt prompt) {}

    /**
     * What the proxy says to a backend server.
     *
     * @param requestId The identifier of the request.
     * @param backendId The identifier of the backend server that is meant.
     * @param remainingMillis The time left in milliseconds.
     * @param customer The customer, if the route needs a key.
     * @param urgency The urgency from 0, the most urgent, to 9.
     * @param lastEventId The event after which a stream shall go on.
     */
    record BackendHeaders(
            String requestId,
            String backendId,
            long remainingMillis,
            Optional<String> customer,
            int urgency,
            Optional<String> lastEventId) {}

    /**
     * What a backend server says in the headers of its answer.
     *
     * @param requestId The identifier of the request that it answers.
     * @param notRun Whether it says that the request has not run.
     * @param signature Whether the answer has the signature of a backend server.
     */
    record BackendResponseHeaders(Optional<String> requestId, boolean notRun, boolean signature) {}
}
