package org.cranberrygauge.runtime.tls;

import org.cranberrygauge.runtime.event.Event;

/** The events of TLS. */
public final class TlsEvents {

    /** Prevents instances. */
    private TlsEvents() {}

    /**
     * A replaced certificate is used by new connections; open ones go on.
     *
     * @param fingerprint The SHA-256 of the file with the certificate chain.
     */
    public record CertificateReloaded(String fingerprint) implements Event {}

    /**
     * Replaced files can't be used; the certificate before stays in use.
     *
     * @param reason The reason.
     */
    public record CertificateRefused(String reason) implements Event {}
}
