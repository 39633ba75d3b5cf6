package org.cranberrygauge.proxy.control;

import java.util.Map;
import org.cranberrygauge.runtime.event.Event;

/** The events of the controllers. */
public final class ControlEvents {

    private ControlEvents() {}

    /**
     * A configuration came into force.
     *
     * @param version The version of the configuration.
     * @param offset The offset of its record in the topic; -1 if it was read as part of a snapshot.
     */
    public record ConfigurationInForce(long version, long offset) implements Event {}

    /**
     * A record of another writer could not be read and is ignored.
     *
     * @param topic The topic of the record, or datagram for a message of another host.
     * @param key The key of the record; empty if it has none.
     * @param detail The reason.
     */
    public record RecordUnreadable(String topic, String key, String detail) implements Event {}

    /**
     * A backend server was added, or its entry changed.
     *
     * @param backend The identifier of the backend server.
     * @param pool The pool that it belongs to.
     * @param dataCentre The data centre that it runs in.
     * @param version The version of its software.
     * @param state Whether it accepts new requests: ready or leaving.
     */
    public record BackendListed(String backend, String pool, String dataCentre, String version, String state)
            implements Event {}

    /**
     * A backend server was removed from the list.
     *
     * @param backend The identifier of the backend server.
     */
    public record BackendGone(String backend) implements Event {}

    /**
     * A backend server is retained in the list though the shared log no longer holds its entry, which may have expired
     * because the log was away for all hosts.
     *
     * @param backend The identifier of the backend server.
     */
    public record BackendRetained(String backend) implements Event {}

    /**
     * The backend servers that were retained in the list and have not registered again are dropped.
     *
     * @param backends The number of servers that are dropped.
     * @param reason REGISTRATION_OVER: running servers have had the time to register again; HOST_WAS_ALONE: another host has read
     *     the log all the while, or was the first to read it after its return.
     */
    public record RetentionEnded(int backends, String reason) implements Event {}

    /**
     * The shared log has answered after a time without an answer that is long enough for entries of running backend servers to
     * expire. Whether it was away for all hosts is not known at that moment.
     *
     * @param forMillis The time without an answer in milliseconds.
     */
    public record LogGapEnded(long forMillis) implements Event {}

    /**
     * The operator has evacuated a data centre: its backend servers get no requests.
     *
     * @param dataCentre The name of the data centre.
     * @param backends The number of its backend servers that are listed; 0 may show that there is no such data centre.
     */
    public record DataCentreEvacuated(String dataCentre, int backends) implements Event {}

    /**
     * The evacuation of a data centre has ended: its backend servers get requests again.
     *
     * @param dataCentre The name of the data centre.
     */
    public record DataCentreRestored(String dataCentre) implements Event {}

    /**
     * A backend server is cold: it takes a limited rate of requests from all hosts together.
     *
     * @param backend The incarnation of the backend server.
     * @param forMillis The time for which it stays cold, in milliseconds.
     */
    public record BackendCold(String backend, long forMillis) implements Event {}

    /**
     * A backend server is not cold any more.
     *
     * @param backend The incarnation of the backend server.
     */
    public record BackendWarm(String backend) implements Event {}

    /**
     * The shared log has come back from an older copy and lost what it had acknowledged lately. This host writes its
     * usage counts and, if it is new, its address again, and reads all topics anew.
     *
     * @param from The era before.
     * @param to The era now.
     */
    public record StoreEraChanged(long from, long to) implements Event {}

    /**
     * The shared log was read for the versions at which streams began, and whether it holds all of them has changed. Until
     * it does, a stream that no host knows is rejected.
     *
     * @param complete Whether the log holds all of them.
     * @param origins The number of versions, over all pools.
     */
    public record StreamOriginsRead(boolean complete, int origins) implements Event {}

    /**
     * A version was removed from those at which streams may have begun, since it has not been listed for a minute.
     *
     * @param pool The pool of the backend servers.
     * @param version The version of their software.
     */
    public record StreamOriginRemoved(String pool, String version) implements Event {}

    /**
     * The usage of windows is not reported.
     *
     * @param window The number of the first window.
     * @param windows The number of consecutive windows.
     * @param reason DECISION_LOST: a record that the log lost by coming back from an older copy may have decided the window;
     *     DECISION_FORGOTTEN: a later window is decided, and the figures of this one are no longer retained; COUNTS_FORGOTTEN:
     *     no counts are known, and records with counts may have expired unread; TOO_OLD: no host could report it in time.
     */
    public record UsageWindowGivenUp(long window, long windows, String reason) implements Event {}

    /**
     * Records with usage counts have expired before this host read them, as when it becomes the leader.
     *
     * @param from The offset from which it read.
     * @param first The offset of the first record that was retained.
     */
    public record UsageCountsSkipped(long from, long first) implements Event {}

    /**
     * A dependency became unavailable.
     *
     * @param dependency The name of the dependency.
     * @param detail The error message.
     */
    public record DependencyLost(String dependency, String detail) implements Event {}

    /**
     * A dependency became available again.
     *
     * @param dependency The name of the dependency.
     * @param afterMillis The duration of the outage in milliseconds.
     */
    public record DependencyRegained(String dependency, long afterMillis) implements Event {}

    /**
     * This host became the leader, got a new fencing token, or lost leadership.
     *
     * @param held Whether this host is the leader.
     * @param fencingToken The fencing token; -1 if this host is not the leader.
     */
    public record DutyChanged(boolean held, long fencingToken) implements Event {}

    /**
     * The figures of a usage window were reported.
     *
     * @param window The number of the usage window.
     * @param byCustomer The number of requests by customer.
     * @param fencingToken The fencing token that was sent.
     * @param outcome The outcome of the call.
     */
    public record UsageReported(long window, Map<String, Long> byCustomer, long fencingToken, String outcome)
            implements Event {}

    /**
     * A backend server broke connections of requests and takes no new one.
     *
     * @param backend The incarnation of the backend server.
     * @param parts The number of shared prompt parts and of requests that this host ran there.
     */
    public record BackendCrashSeen(String backend, int parts) implements Event {}

    /**
     * Requests with a part in their prompts, or one request that is sent again and again, are rejected from now on, since
     * they crash backend servers.
     *
     * @param part The hash of the part's identifier, or of the request, in hexadecimal.
     */
    public record PromptPartBlocked(String part) implements Event {}

    /**
     * Such requests are no longer rejected: one completed, other parts account for the crashes, or the last crash is old.
     *
     * @param part The hash of the part's identifier, or of the request, in hexadecimal.
     */
    public record PromptPartReleased(String part) implements Event {}

    /**
     * Backend servers were ordered.
     *
     * @param pool The pool that they belong to.
     * @param dataCentre The data centre that they run in.
     * @param supply Whether regular or cheap, reclaimable servers were ordered.
     * @param number The total number ordered.
     * @param demand The number of servers that the current load requires, of the whole pool.
     * @param size The target size of the whole pool.
     * @param tokensPerMilli The learned speed of an engine in prompt tokens per millisecond.
     * @param fencingToken The fencing token that was sent.
     * @param outcome The outcome of the call.
     */
    public record BackendsOrdered(
            String pool,
            String dataCentre,
            String supply,
            int number,
            double demand,
            int size,
            double tokensPerMilli,
            long fencingToken,
            String outcome)
            implements Event {}
}
