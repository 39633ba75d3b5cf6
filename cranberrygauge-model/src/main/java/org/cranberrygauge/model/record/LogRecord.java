package org.cranberrygauge.model.record;

import java.util.Map;
import java.util.Set;
import org.cranberrygauge.model.configuration.Configuration;

/** A record in the append-only log; several records share one appended entry. */
public sealed interface LogRecord {

    /**
     * A change of the whole configuration, valid only if the base is still in force.
     *
     * @param changeId The identifier of the change, which makes copies harmless.
     * @param operator The name of the operator.
     * @param baseVersion The version that the change was prepared on.
     * @param configuration The configuration after the change.
     */
    record ConfigurationChange(String changeId, String operator, long baseVersion, Configuration configuration)
            implements LogRecord {}

    /**
     * A claim or renewal of the lease, valid only if no other valid claim came after the one it names.
     *
     * @param holder The incarnation that claims.
     * @param host The host of the holder.
     * @param previousOffset The offset of the last valid claim that the holder saw; 0 for none.
     * @param leaseMillis The length of the lease in milliseconds.
     */
    record LeaseClaim(String holder, String host, long previousOffset, long leaseMillis) implements LogRecord {}

    /**
     * The release of a lease by its holder.
     *
     * @param holder The incarnation that held the lease.
     * @param previousOffset The offset of the claim that is released.
     */
    record LeaseRelease(String holder, long previousOffset) implements LogRecord {}

    /**
     * The intent to send an order to the platform.
     *
     * @param orderId The identifier of the order.
     * @param holder The incarnation of the lease holder.
     * @param fencingNumber The fencing number of the lease.
     * @param pool The name of the pool.
     * @param desiredCount The number of backend servers that the pool shall have.
     * @param reason The reason code.
     */
    record OrderIntent(String orderId, String holder, long fencingNumber, String pool, int desiredCount, String reason)
            implements LogRecord {}

    /**
     * What became of an order.
     *
     * @param orderId The identifier of the order.
     * @param fencingNumber The fencing number it was sent with.
     * @param result The result as stated by the platform.
     */
    record OrderOutcome(String orderId, long fencingNumber, String result) implements LogRecord {}

    /**
     * The reservation of a call that must run at most once.
     *
     * @param reservationId The identifier of this reservation.
     * @param customer The name of the customer.
     * @param route The path prefix of the route.
     * @param key The digest of the idempotency key.
     * @param bodyDigest The digest of the method, path and body.
     * @param gateway The incarnation of the gateway.
     * @param reservedAtMillis The time of the reservation in milliseconds of the epoch.
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
     * @param reservationId The identifier of the reservation.
     * @param disposition What became of the call.
     * @param status The HTTP status of the backend server's answer; 0 for none.
     * @param contentType The content type of the answer.
     * @param body The answer where it is small, else an empty string.
     * @param bodyKept Whether the body is the whole answer.
     */
    record ReservationOutcome(
            String reservationId,
            Disposition disposition,
            int status,
            String contentType,
            String body,
            boolean bodyKept)
            implements LogRecord {}

    /** What became of a reserved call. */
    enum Disposition {
        /** The backend server answered. */
        ANSWERED,
        /** Nothing was sent to a backend server. */
        NOT_RUN,
        /** A byte may have reached a backend server and no answer came. */
        UNKNOWN
    }

    /**
     * The release of an idempotency key by an operator.
     *
     * @param reservationId The identifier of the reservation.
     * @param operator The name of the operator.
     */
    record ReservationRelease(String reservationId, String operator) implements LogRecord {}

    /**
     * The cumulative usage counted by one gateway incarnation.
     *
     * @param gateway The incarnation of the gateway.
     * @param sequence The sequence number, growing by one with each delta of the incarnation.
     * @param totals The cumulative usage by customer and class.
     */
    record UsageDelta(String gateway, long sequence, Map<UsageKey, UsageFigures> totals) implements LogRecord {

        /** Copies the map. */
        public UsageDelta {
            totals = Map.copyOf(totals);
        }
    }

    /**
     * The close of a usage window; it counts what stands in the log before it.
     *
     * @param windowId The number of the window, growing by one.
     * @param holder The incarnation of the lease holder.
     * @param fencingNumber The fencing number of the lease.
     */
    record WindowClose(long windowId, String holder, long fencingNumber) implements LogRecord {}

    /**
     * The acknowledgement of a usage report by the platform.
     *
     * @param windowId The number of the window.
     * @param fencingNumber The fencing number of the reporter.
     */
    record WindowReported(long windowId, long fencingNumber) implements LogRecord {}

    /**
     * The join of a gateway.
     *
     * @param gateway The incarnation of the gateway.
     * @param host The host.
     * @param dataCentre The name of its data centre.
     * @param address The address of its peers' exchange.
     */
    record GatewayJoined(String gateway, String host, String dataCentre, String address) implements LogRecord {}

    /**
     * The end of a gateway incarnation.
     *
     * @param gateway The incarnation of the gateway.
     * @param reason The reason code.
     */
    record GatewayLeft(String gateway, String reason) implements LogRecord {}

    /**
     * The drain of backend servers; they get no new work.
     *
     * @param drainId The identifier of the drain.
     * @param fencingNumber The fencing number of the lease; 0 for an operator.
     * @param backendServers The names of the backend servers.
     * @param reason The reason code.
     */
    record DrainStarted(String drainId, long fencingNumber, Set<String> backendServers, String reason)
            implements LogRecord {

        /** Copies the set. */
        public DrainStarted {
            backendServers = Set.copyOf(backendServers);
        }
    }

    /**
     * The end of a drain; the backend servers get work again.
     *
     * @param drainId The identifier of the drain.
     * @param fencingNumber The fencing number of the lease; 0 for an operator.
     */
    record DrainEnded(String drainId, long fencingNumber) implements LogRecord {}

    /**
     * A part of a snapshot of all that follows from the log.
     *
     * @param snapshotId The identifier of the snapshot.
     * @param throughOffset The offset up to which the snapshot holds the log.
     * @param index The number of the part, from 0.
     * @param count The number of parts.
     * @param text The part of the snapshot's text.
     */
    record SnapshotPart(String snapshotId, long throughOffset, int index, int count, String text)
            implements LogRecord {}
}
