package org.cranberrygauge.decision.quarantine;

import java.nio.charset.StandardCharsets;
import org.cranberrygauge.model.customer.KeyDigest;

/**
 * Identifies a request that is sent repeatedly, through any gateway.
 *
 * @param hexadecimal The digest in lower-case hexadecimal digits.
 */
public record RequestFingerprint(String hexadecimal) {

    /** Separates the parts. Neither customers nor routes contain it. */
    private static final char SEPARATOR = '\n';

    /**
     * Computes the fingerprint of a request.
     *
     * @param route The path or the route.
     * @param canonicalBody The body in a form that is independent of its layout.
     */
    public static RequestFingerprint of(String customer, String route, String canonicalBody) {
        String whole = customer + SEPARATOR + route + SEPARATOR + canonicalBody;
        return new RequestFingerprint(KeyDigest.digest(whole.getBytes(StandardCharsets.UTF_8)));
    }
}
