package org.cranberrygauge.runtime.tls;

import org.cranberrygauge.runtime.event.Event;

/** The events emitted when certificates are reloaded. */
public final class TlsEvents {

    private TlsEvents() {}

    /**
     * A replaced certificate is now used for new connections; open connections are not affected.
     *
     * @param fingerprint The SHA-256 digest of the certificate file in hexadecimal.
     */
    public record CertificateReloaded(String fingerprint) implements Event {}

    /**
     * The replaced certificate files cannot be used; the previous certificate remains in use.
     *
     * @param reason The error message.
     */
    public record CertificateRefused(String reason) implements Event {}
}
