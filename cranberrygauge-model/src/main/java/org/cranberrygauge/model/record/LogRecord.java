package org.cranberrygauge.model.record;

import java.util.Map;
import java.util.Set;
import org.cranberrygauge.model.configuration.Configuration;

/** A record in the append-only log. Several records may share one entry. */
public sealed interface LogRecord {

    /**
     * A change of the whole configuration. Valid only if its base version is still in force.
     *
     * @param changeId The identifier of the change, by which duplicates are recognized.
     * @param baseVersion The version that the change is based on.
     * @param configuration The configuration after the change.
     */
    record ConfigurationChange(String changeId, String operator, long baseVersion, Configuration configuration)
            implements LogRecord {}

    /**
     * A claim or renewal of the lease. Valid only if no other valid claim follows the one that it names.
     *
     * @param holder The incarnation that claims the lease.
     * @param previousOffset The offset of the last valid claim that the claimant has read; 0 for none.
     * @param leaseMillis The length of the lease in milliseconds.
     */
    record LeaseClaim(String holder, String host, long previousOffset, long leaseMillis) implements LogRecord {}

    /**
     * The release of the lease by its holder.
     *
     * @param holder The incarnation that held the lease.
     * @param previousOffset The offset of the claim that is released.
     */
    record LeaseRelease(String holder, long previousOffset) implements LogRecord {}

    /**
     * The intent to send an order to the platform.
     *
     * @param holder The incarnation of the lease holder.
     * @param fencingNumber The fencing number of the lease.
     * @param desiredCount The number of backend servers that the pool should have.
     * @param reason The reason code.
     */
    record OrderIntent(String orderId, String holder, long fencingNumber, String pool, int desiredCount, String reason)
            implements LogRecord {}

    /**
     * The result of an order to the platform.
     *
     * @param fencingNumber The fencing number that the order carried.
     * @param result The result reported by the platform.
     */
    record OrderOutcome(String orderId, long fencingNumber, String result) implements LogRecord {}

    /**
     * The reservation of a call that must run at most once.
     *
     * @param route The path prefix of the route.
     * @param key The digest of the idempotency key.
     * @param bodyDigest The digest of the method, path and body.
     * @param reservedAtMillis The time of the reservation in milliseconds since the epoch.
     */
    record Reservation(
            String reservationId,
            String customer,
            String route,
            String key,
            String bodyDigest,
            String gateway,
            long reservedAtMillis)
            implements LogRecord {}

    /**
     * The outcome of a reserved call.
     *
     * @param disposition How the call ended.
     * @param status The HTTP status of the backend server's answer; 0 for none.
     * @param contentType The content type of the answer.
     * @param body The body of the answer if it is small enough to be stored, otherwise an empty string.
     * @param bodyKept Whether the body is the complete answer.
     */
    record ReservationOutcome(
            String reservationId,
            Disposition disposition,
            int status,
            String contentType,
            String body,
            boolean bodyKept)
            implements LogRecord {}

    /** How a reserved call ended. */
    enum Disposition {
        ANSWERED,
        /** Nothing was sent to a backend server. */
        NOT_RUN,
        /** Part of the call may have reached a backend server, but no answer was received. */
        UNKNOWN
    }

    /** The release of an idempotency key by an operator. */
    record ReservationRelease(String reservationId, String operator) implements LogRecord {}

    /**
     * The cumulative usage counted by one gateway incarnation.
     *
     * @param sequence The sequence number, which grows by one with each delta of the incarnation.
     * @param totals The cumulative usage by customer and class.
     */
    record UsageDelta(String gateway, long sequence, Map<UsageKey, UsageFigures> totals) implements LogRecord {

        public UsageDelta {
            totals = Map.copyOf(totals);
        }
    }

    /**
     * The close of a usage window. The window covers the usage recorded before this record.
     *
     * @param windowId The number of the window, which grows by one.
     * @param holder The incarnation of the lease holder.
     * @param fencingNumber The fencing number of the lease.
     */
    record WindowClose(long windowId, String holder, long fencingNumber) implements LogRecord {}

    /**
     * The acknowledgement of a usage report by the platform.
     *
     * @param fencingNumber The fencing number of the reporting lease holder.
     */
    record WindowReported(long windowId, long fencingNumber) implements LogRecord {}

    /**
     * The join of a gateway.
     *
     * @param address The address on which its peers exchange reports with it.
     */
    record GatewayJoined(String gateway, String host, String dataCentre, String address) implements LogRecord {}

    /**
     * The departure of a gateway incarnation.
     *
     * @param reason The reason code.
     */
    record GatewayLeft(String gateway, String reason) implements LogRecord {}

    /**
     * The start of a drain. The backend servers get no new work until it ends.
     *
     * @param fencingNumber The fencing number of the lease; 0 for an operator.
     * @param reason The reason code.
     */
    record DrainStarted(String drainId, long fencingNumber, Set<String> backendServers, String reason)
            implements LogRecord {

        public DrainStarted {
            backendServers = Set.copyOf(backendServers);
        }
    }

    /**
     * The end of a drain. The backend servers get work again.
     *
     * @param fencingNumber The fencing number of the lease; 0 for an operator.
     */
    record DrainEnded(String drainId, long fencingNumber) implements LogRecord {}

    /**
     * A part of a snapshot of the state derived from the log.
     *
     * @param throughOffset The offset up to which the snapshot covers the log.
     * @param index The index of the part, from 0.
     * @param count The number of parts.
     * @param text The text of the part.
     */
    record SnapshotPart(String snapshotId, long throughOffset, int index, int count, String text)
            implements LogRecord {}
}
