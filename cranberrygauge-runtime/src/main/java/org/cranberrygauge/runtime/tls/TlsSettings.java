package org.cranberrygauge.runtime.tls;

import com.beust.jcommander.Parameter;
import java.nio.file.Path;
import java.util.Optional;
import org.cranberrygauge.runtime.setting.PositiveNumber;
import org.cranberrygauge.runtime.setting.SettingException;

/**
 * The settings of TLS.
 *
 * <p>Filled in by the settings parser before any thread starts, and only read afterwards.
 */
public final class TlsSettings {

    /** The file with the certificate. */
    @Parameter(
            names = "--tls-certificate",
            description = "PEM file with the certificate chain; turns TLS on for callers")
    private Path certificate;

    /** The file with the private key. */
    @Parameter(names = "--tls-key", description = "PEM file with the private key of the certificate")
    private Path key;

    /** The time between two looks at the files. */
    @Parameter(
            names = "--tls-reload-millis",
            validateWith = PositiveNumber.class,
            description = "Milliseconds between two looks whether the files of TLS were replaced")
    private long reloadMillis = 10_000;

    /** Creates settings without TLS. */
    public TlsSettings() {}

    /**
     * Creates settings.
     *
     * @param certificate The file with the certificate.
     * @param key The file with the private key.
     */
    TlsSettings(Path certificate, Path key) {
        this.certificate = certificate;
        this.key = key;
    }

    /**
     * Returns the files, if TLS is on.
     *
     * @return The files, or nothing.
     * @throws SettingException If only one of them is set.
     */
    public Optional<CertificateFiles> files() throws SettingException {
        if (certificate == null && key == null) {
            return Optional.empty();
        }
        if (certificate == null || key == null) {
            throw new SettingException((certificate == null ? "--tls-certificate" : "--tls-key")
                    + " is missing; allowed are both --tls-certificate and --tls-key, or neither");
        }
        return Optional.of(new CertificateFiles(certificate, key));
    }

    /**
     * Returns the time between two looks at the files.
     *
     * @return The time in milliseconds.
     */
    public long reloadMillis() {
        return reloadMillis;
    }
}
