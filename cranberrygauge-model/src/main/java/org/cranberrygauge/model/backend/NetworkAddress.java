package org.cranberrygauge.model.backend;

/**
 * An IP address and a port.
 *
 * @param host The IP address.
 */
public record NetworkAddress(String host, int port) {

    private static final int HIGHEST_PORT = 65_535;

    /**
     * Parses an address of the form HOST:PORT.
     *
     * @throws IllegalArgumentException If the text is not an address.
     */
    public static NetworkAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("expected HOST:PORT, got " + text);
        }
        int port = Integer.parseInt(text.substring(colon + 1));
        if (port < 0 || port > HIGHEST_PORT) {
            throw new IllegalArgumentException("expected a port from 0 to 65535, got " + port);
        }
        return new NetworkAddress(text.substring(0, colon), port);
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
