package org.cranberrygauge.runtime.tls;

import com.beust.jcommander.Parameter;
import java.nio.file.Path;
import java.util.Optional;
import org.cranberrygauge.runtime.setting.PositiveNumber;
import org.cranberrygauge.runtime.setting.SettingException;

/**
 * The settings of TLS.
 *
 * <p>Populated by the settings parser before any thread is started, and read-only afterwards.
 */
public final class TlsSettings {

    @Parameter(
            names = "--tls-certificate",
            description = "PEM file with the certificate chain; turns TLS on for callers")
    private Path certificate;

    @Parameter(names = "--tls-key", description = "PEM file with the private key of the certificate")
    private Path key;

    @Parameter(
            names = "--tls-reload-millis",
            validateWith = PositiveNumber.class,
            description = "Milliseconds between two checks for replaced TLS files")
    private long reloadMillis = 10_000;

    public TlsSettings() {}

    TlsSettings(Path certificate, Path key) {
        this.certificate = certificate;
        this.key = key;
    }

    /**
     * Returns the files if TLS is enabled.
     *
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

    /** Returns the delay between two checks of the files in milliseconds. */
    public long reloadMillis() {
        return reloadMillis;
    }
}
