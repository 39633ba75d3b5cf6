package org.cranberrygauge.decision.connection;

/**
 * How many connections and requests a process can have at a time with the file descriptors that it may use. A request in
 * progress takes another descriptor for its backend server. Immutable.
 *
 * <p>Invariant: if all of these are used up, descriptors are left for the log, for other hosts and for kept connections to
 * backend servers, unless the process may use very few.
 *
 * @param callerConnections The maximum number of connections of callers.
 * @param hostConnections The maximum number of connections on which other hosts pass requests on.
 * @param requests The maximum number of requests in progress.
 */
public record DescriptorBudget(int callerConnections, int hostConnections, int requests) {

    /** The descriptors for files, for connections to the log and to other hosts, and for those of the status port. */
    private static final int RESERVED = 300;

    private static final double CALLER_SHARE = 0.4375;

    private static final double HOST_SHARE = 0.125;

    private static final double REQUEST_SHARE = 0.25;

    /** The smallest number of each. */
    private static final int MINIMUM = 16;

    /** @param maximumDescriptors The file descriptors that the process may have open. */
    public static DescriptorBudget of(long maximumDescriptors) {
        long shared = Math.max(0, maximumDescriptors - RESERVED);
        return new DescriptorBudget(part(shared, CALLER_SHARE), part(shared, HOST_SHARE), part(shared, REQUEST_SHARE));
    }

    private static int part(long descriptors, double share) {
        return (int) Math.min(Integer.MAX_VALUE / 2, Math.max(MINIMUM, descriptors * share));
    }
}
