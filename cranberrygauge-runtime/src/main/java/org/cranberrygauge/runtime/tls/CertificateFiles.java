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
 * <p>Immutable and safe for use by several threads; each read gives what the files hold then.
 *
 * @param certificate The PEM file with the certificate chain.
 * @param key The PEM file with the private key.
 */
public record CertificateFiles(Path certificate, Path key) {

    /**
     * Reads both files.
     *
     * @return What they hold.
     * @throws SettingException If one can't be read.
     */
    public Content read() throws SettingException {
        return new Content(bytes("--tls-certificate", certificate), bytes("--tls-key", key));
    }

    /**
     * Reads a file.
     *
     * @param setting The setting that names it.
     * @param file The file.
     * @return The bytes.
     * @throws SettingException If it can't be read.
     */
    private static Buffer bytes(String setting, Path file) throws SettingException {
        try {
            return Buffer.buffer(Files.readAllBytes(file));
        } catch (IOException exception) {
            throw new SettingException(setting + " is \"" + file + "\"; allowed is a PEM file that can be read: "
                    + exception.getMessage());
        }
    }

    /**
     * What the files hold.
     *
     * <p>Its text shows no part of the key.
     *
     * @param chain The certificate chain.
     * @param privateKey The private key.
     */
    public record Content(Buffer chain, Buffer privateKey) {

        /**
         * Returns the options for a server.
         *
         * @return The options.
         */
        public PemKeyCertOptions options() {
            return new PemKeyCertOptions().setCertValue(chain).setKeyValue(privateKey);
        }

        /**
         * Names the certificate chain.
         *
         * @return The SHA-256 of the file.
         */
        public String fingerprint() {
            return KeyDigest.digest(chain.getBytes());
        }

        @Override
        public String toString() {
            return "certificate " + fingerprint();
        }
    }
}
