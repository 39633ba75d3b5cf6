package org.cranberrygauge.model.backend;

/**
 * An IP number and a port.
 *
 * @param host The IP number.
 * @param port The port.
 */
public record NetworkAddress(String host, int port) {

    /** The highest port number. */
    private static final int HIGHEST_PORT = 65_535;

    /**
     * Reads an address written as HOST:PORT.
     *
     * @param text The text.
     * @return The address.
     * @throws IllegalArgumentException If the text is no address.
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
