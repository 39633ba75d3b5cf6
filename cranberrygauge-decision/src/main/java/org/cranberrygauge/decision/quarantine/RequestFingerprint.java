package org.cranberrygauge.decision.quarantine;

import java.nio.charset.StandardCharsets;
import org.cranberrygauge.model.customer.KeyDigest;

/**
 * Recognises a request that is sent again, through whichever gateway.
 *
 * @param hexadecimal The digest in lower-case hexadecimal digits.
 */
public record RequestFingerprint(String hexadecimal) {

    /** Stands between the parts; none of the first two contains it. */
    private static final char SEPARATOR = '\n';

    /**
     * Computes the fingerprint of a request.
     *
     * @param customer The name of the customer.
     * @param route The path or the route.
     * @param canonicalBody The body in a form that does not depend on its layout.
     * @return The fingerprint.
     */
    public static RequestFingerprint of(String customer, String route, String canonicalBody) {
        String whole = customer + SEPARATOR + route + SEPARATOR + canonicalBody;
        return new RequestFingerprint(KeyDigest.digest(whole.getBytes(StandardCharsets.UTF_8)));
    }
}
