package org.cranberrygauge.gateway.call;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.cranberrygauge.model.customer.KeyDigest;
import org.cranberrygauge.model.service.ServiceRoute;

/**
 * A call to a plain service as received from the caller.
 *
 * @param route The matching route.
 * @param method The HTTP method.
 * @param uri The path below the services prefix, with its query.
 * @param headers The headers that are forwarded.
 * @param body The whole body.
 * @param idempotencyKey The idempotency key, or null.
 */
public record ServiceRequest(
        ServiceRoute route,
        String method,
        String uri,
        Map<String, String> headers,
        Buffer body,
        String idempotencyKey) {

    public ServiceRequest {
        headers = Map.copyOf(headers);
    }

    /** Returns a digest of method, URI and body, by which a repeated call is recognised. */
    public String digest() {
        Buffer whole = Buffer.buffer(method).appendString(" ").appendString(uri).appendString("\n");
        return KeyDigest.digest(whole.appendBuffer(body).getBytes());
    }

    /** Returns the digest of the idempotency key, which must be present. */
    public String keyDigest() {
        return KeyDigest.digest(idempotencyKey.getBytes(StandardCharsets.UTF_8));
    }
}
