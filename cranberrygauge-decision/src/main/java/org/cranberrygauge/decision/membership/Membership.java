package org.cranberrygauge.decision.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cranberrygauge.model.record.LogRecord.GatewayJoined;
import org.cranberrygauge.model.record.LogRecord.GatewayLeft;

/**
 * The gateways that joined and did not leave, as they stand in the log.
 *
 * <p>Invariants: a host has at most one member, since a new incarnation on a host replaces the old one; the same log
 * prefix gives the same members in every reader. Immutable and safe for use by several threads.
 *
 * @param byHost The members by host.
 */
public record Membership(Map<String, GatewayMember> byHost) {

    /** Copies the map. */
    public Membership {
        byHost = Map.copyOf(byHost);
    }

    /**
     * Returns the state before any join.
     *
     * @return The initial state.
     */
    public static Membership initial() {
        return new Membership(Map.of());
    }

    /**
     * Applies a join that was read from the log.
     *
     * @param joined The join.
     * @return The state after it.
     */
    public Membership apply(GatewayJoined joined) {
        Map<String, GatewayMember> next = new HashMap<>(byHost);
        next.put(
                joined.host(),
                new GatewayMember(joined.gateway(), joined.host(), joined.dataCentre(), joined.address()));
        return new Membership(next);
    }

    /**
     * Applies the end of an incarnation that was read from the log.
     *
     * @param left The end.
     * @return The state after it.
     */
    public Membership apply(GatewayLeft left) {
        Map<String, GatewayMember> next = new HashMap<>(byHost);
        next.values().removeIf(member -> member.gateway().equals(left.gateway()));
        return new Membership(next);
    }

    /**
     * Returns the member that runs on a host.
     *
     * @param host The host.
     * @return The member, or nothing.
     */
    public Optional<GatewayMember> onHost(String host) {
        return Optional.ofNullable(byHost.get(host));
    }

    /**
     * Returns all members.
     *
     * @return The members.
     */
    public Collection<GatewayMember> all() {
        return byHost.values();
    }

    /**
     * Tells whether an incarnation is a member. One that is not may have been declared gone, and others may then take a
     * change for accepted without it.
     *
     * @param gateway The incarnation.
     * @return Whether it is a member.
     */
    public boolean contains(String gateway) {
        return byHost.values().stream().anyMatch(member -> member.gateway().equals(gateway));
    }

    /**
     * Builds the state from a list of members.
     *
     * @param members The members.
     * @return The state.
     */
    public static Membership of(Collection<GatewayMember> members) {
        Map<String, GatewayMember> byHost = new HashMap<>();
        members.forEach(member -> byHost.put(member.host(), member));
        return new Membership(byHost);
    }
}
