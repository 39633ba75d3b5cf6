package org.cranberrygauge.proxy.exchange;

import io.vertx.core.MultiMap;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * How a request came to this host: from its caller, or from another host that reaches no backend server. Immutable.
 *
 * @param from The host that passed the request on; empty if the caller sent it.
 * @param remainingMillis The time until the deadline in milliseconds, as that host knows it.
 * @param remainingAttempts The number of backend servers to which the request may still be sent.
 */
record Forwarding(Optional<String> from, long remainingMillis, int remainingAttempts) {

    static final Forwarding NONE = new Forwarding(Optional.empty(), Long.MAX_VALUE, Integer.MAX_VALUE);

    private static final String FROM = "Cranberrygauge-Forwarded-From";

    private static final String REMAINING_MILLIS = "Cranberrygauge-Remaining-Millis";

    private static final String REMAINING_ATTEMPTS = "Cranberrygauge-Remaining-Attempts";

    /**
     * On a rejection by the host that a request was forwarded to: the request has not run and never will. The value is the
     * number of backend servers that it was sent to.
     */
    private static final String NOT_RUN = "Cranberrygauge-Not-Run";

    /** Writes this into the headers of a request to another host. */
    void write(MultiMap headers) {
        headers.set(FROM, from.orElse(""));
        headers.set(REMAINING_MILLIS, Long.toString(remainingMillis));
        headers.set(REMAINING_ATTEMPTS, Integer.toString(remainingAttempts));
    }

    /** Marks a response to a forwarded request as a rejection of one that has not run, or as any other. */
    static void markNotRun(MultiMap responseHeaders, boolean notRun, int sent) {
        if (notRun) {
            responseHeaders.set(NOT_RUN, Integer.toString(sent));
        } else {
            responseHeaders.remove(NOT_RUN);
        }
    }

    /** Tells whether a response is the rejection of another host. */
    static boolean isRejection(MultiMap responseHeaders) {
        return responseHeaders.contains(NOT_RUN);
    }

    /**
     * Reads and removes the mark that a request has not run.
     *
     * @return The number of backend servers that rejected the request; empty without the mark.
     */
    static OptionalInt takeNotRun(MultiMap responseHeaders) {
        String sent = responseHeaders.get(NOT_RUN);
        responseHeaders.remove(NOT_RUN);
        return sent == null ? OptionalInt.empty() : OptionalInt.of(count(sent));
    }

    /** Reads a number of backend servers; one that is malformed counts as one server. */
    private static int count(String sent) {
        try {
            return Math.max(0, Integer.parseInt(sent));
        } catch (NumberFormatException exception) {
            return 1;
        }
    }

    /**
     * Reads the headers of a request from another host and removes what it added to them.
     *
     * @throws IllegalArgumentException If a header is missing or no number.
     */
    static Forwarding take(MultiMap headers) {
        Forwarding forwarding = new Forwarding(
                Optional.of(String.valueOf(headers.get(FROM))),
                Long.parseLong(String.valueOf(headers.get(REMAINING_MILLIS))),
                Integer.parseInt(String.valueOf(headers.get(REMAINING_ATTEMPTS))));
        headers.remove(FROM);
        headers.remove(REMAINING_MILLIS);
        headers.remove(REMAINING_ATTEMPTS);
        return forwarding;
    }
}
