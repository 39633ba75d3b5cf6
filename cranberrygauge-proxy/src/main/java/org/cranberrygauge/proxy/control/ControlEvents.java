package org.cranberrygauge.proxy.control;

import java.util.Map;
import org.cranberrygauge.runtime.event.Event;

/** The events of the controllers. */
public final class ControlEvents {

    /** Prevents instances. */
    private ControlEvents() {}

    /**
     * A configuration is in force.
     *
     * @param version The version.
     * @param offset The offset of its record.
     */
    public record ConfigurationInForce(long version, long offset) implements Event {}

    /**
     * A record of another writer can't be understood and is left out.
     *
     * @param topic The topic.
     * @param key The key.
     * @param detail What is wrong.
     */
    public record RecordUnreadable(String topic, String key, String detail) implements Event {}

    /**
     * A backend server appeared, or what it says of itself changed.
     *
     * @param backend The backend server.
     * @param pool The pool.
     * @param dataCentre The data centre.
     * @param state Whether it takes new work.
     */
    public record BackendListed(String backend, String pool, String dataCentre, String state) implements Event {}

    /**
     * A backend server is no longer listed.
     *
     * @param backend The backend server.
     */
    public record BackendGone(String backend) implements Event {}

    /**
     * A dependency can't be reached or used.
     *
     * @param dependency The dependency.
     * @param detail What happened.
     */
    public record DependencyLost(String dependency, String detail) implements Event {}

    /**
     * A dependency can be used again.
     *
     * @param dependency The dependency.
     * @param afterMillis The time without it in milliseconds.
     */
    public record DependencyRegained(String dependency, long afterMillis) implements Event {}

    /**
     * This host took or lost the duties that one host does for all.
     *
     * @param held Whether it holds them.
     * @param fencingToken The fencing token.
     */
    public record DutyChanged(boolean held, long fencingToken) implements Event {}

    /**
     * The figures of a usage window were reported.
     *
     * @param window The window.
     * @param byCustomer The figures.
     * @param fencingToken The fencing token.
     * @param outcome What the receiver said.
     */
    public record UsageReported(long window, Map<String, Long> byCustomer, long fencingToken, String outcome)
            implements Event {}

    /**
     * Backend servers were ordered.
     *
     * @param pool The pool.
     * @param dataCentre The data centre.
     * @param supply How they are supplied.
     * @param number The number wished for.
     * @param fencingToken The fencing token.
     * @param outcome What the receiver said.
     */
    public record BackendsOrdered(
            String pool, String dataCentre, String supply, int number, long fencingToken, String outcome)
            implements Event {}
}
