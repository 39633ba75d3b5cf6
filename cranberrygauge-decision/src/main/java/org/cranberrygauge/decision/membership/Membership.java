package org.cranberrygauge.decision.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cranberrygauge.model.record.LogRecord.GatewayJoined;
import org.cranberrygauge.model.record.LogRecord.GatewayLeft;

/**
 * The gateways that have joined and not left, as recorded in the log.
 *
 * <p>Invariants: a host has at most one member, because a new incarnation on a host replaces the old one; all readers
 * of the same log prefix see the same members. Immutable and thread-safe.
 */
public record Membership(Map<String, GatewayMember> byHost) {

    public Membership {
        byHost = Map.copyOf(byHost);
    }

    /** Returns the state before any join. */
    public static Membership initial() {
        return new Membership(Map.of());
    }

    /**
     * Applies a join that was read from the log.
     *
     * @return The state after the join.
     */
    public Membership apply(GatewayJoined joined) {
        Map<String, GatewayMember> next = new HashMap<>(byHost);
        next.put(
                joined.host(),
                new GatewayMember(joined.gateway(), joined.host(), joined.dataCentre(), joined.address()));
        return new Membership(next);
    }

    /**
     * Applies a leave that was read from the log.
     *
     * @return The state after the leave.
     */
    public Membership apply(GatewayLeft left) {
        Map<String, GatewayMember> next = new HashMap<>(byHost);
        next.values().removeIf(member -> member.gateway().equals(left.gateway()));
        return new Membership(next);
    }

    /**
     * Returns the member on a host.
     *
     * @return The member, or empty if the host has none.
     */
    public Optional<GatewayMember> onHost(String host) {
        return Optional.ofNullable(byHost.get(host));
    }

    public Collection<GatewayMember> all() {
        return byHost.values();
    }

    /**
     * Returns whether an incarnation is a member. One that is not may have been declared gone, in which case others may
     * take a change as accepted without it.
     */
    public boolean contains(String gateway) {
        return byHost.values().stream().anyMatch(member -> member.gateway().equals(gateway));
    }

    /** Creates the state from a list of members. */
    public static Membership of(Collection<GatewayMember> members) {
        Map<String, GatewayMember> byHost = new HashMap<>();
        members.forEach(member -> byHost.put(member.host(), member));
        return new Membership(byHost);
    }
}
