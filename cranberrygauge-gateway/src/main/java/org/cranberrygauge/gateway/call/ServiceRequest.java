package org.cranberrygauge.gateway.call;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.cranberrygauge.model.customer.KeyDigest;
import org.cranberrygauge.model.service.ServiceRoute;

/**
 * A call to a plain service as the caller sent it.
 *
 * @param route The route.
 * @param method The method.
 * @param uri The path with its query.
 * @param headers The headers that are passed on.
 * @param body The body.
 * @param idempotencyKey The idempotency key, or null.
 */
public record ServiceRequest(
        ServiceRoute route,
        String method,
        String uri,
        Map<String, String> headers,
        Buffer body,
        String idempotencyKey) {

    /** Copies the map. */
    public ServiceRequest {
        headers = Map.copyOf(headers);
    }

    /**
     * Returns the digest of what makes the call.
     *
     * @return The digest of method, path and body.
     */
    public String digest() {
        Buffer whole = Buffer.buffer(method).appendString(" ").appendString(uri).appendString("\n");
        return KeyDigest.digest(whole.appendBuffer(body).getBytes());
    }

    /**
     * Returns the digest of the idempotency key.
     *
     * @return The digest.
     */
    public String keyDigest() {
        return KeyDigest.digest(idempotencyKey.getBytes(StandardCharsets.UTF_8));
    }
}
