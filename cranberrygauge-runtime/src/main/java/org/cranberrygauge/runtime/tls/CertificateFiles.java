package org.cranberrygauge.runtime.tls;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.PemKeyCertOptions;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.cranberrygauge.model.customer.KeyDigest;
import org.cranberrygauge.runtime.setting.SettingException;

/**
 * The files of a certificate and its private key.
 *
 * <p>Immutable and safe for use by several threads; each read returns the current content of the files.
 *
 * @param certificate The PEM file with the certificate chain.
 * @param key The PEM file with the private key.
 */
public record CertificateFiles(Path certificate, Path key) {

    /**
     * Reads both files.
     *
     * @throws SettingException If either cannot be read.
     */
    public Content read() throws SettingException {
        return new Content(bytes("--tls-certificate", certificate), bytes("--tls-key", key));
    }

    private static Buffer bytes(String setting, Path file) throws SettingException {
        try {
            return Buffer.buffer(Files.readAllBytes(file));
        } catch (IOException exception) {
            throw new SettingException(setting + " is \"" + file + "\"; allowed is a PEM file that can be read: "
                    + exception.getMessage());
        }
    }

    /**
     * The content of the files.
     *
     * <p>Its string representation does not contain any part of the key.
     */
    public record Content(Buffer chain, Buffer privateKey) {

        /** Returns the options for a server with this certificate. */
        public PemKeyCertOptions options() {
            return new PemKeyCertOptions().setCertValue(chain).setKeyValue(privateKey);
        }

        /** Returns the SHA-256 digest of the certificate file. */
        public String fingerprint() {
            return KeyDigest.digest(chain.getBytes());
        }

        @Override
        public String toString() {
            return "certificate " + fingerprint();
        }
    }
}
