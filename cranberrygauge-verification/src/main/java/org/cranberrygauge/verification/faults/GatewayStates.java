package org.cranberrygauge.verification.faults;

/**
 * The state of four gateways and the log, packed into a long so that a search can hold many of them.
 *
 * <p>Immutable and safe for use by several threads.
 */
record GatewayStates(long bits) {

    static final int GATEWAYS = 4;

    /** The first status; two bits per gateway. */
    private static final int STATUS = 0;

    /** Whether a gateway knows the withdrawal; one bit per gateway. */
    private static final int KNOWS = 8;

    /** Whether a gateway's view of the log is fresh; one bit per gateway. */
    private static final int FRESH = 12;

    /** The gateways that each gateway heard from within the freshness bound; four bits per gateway. */
    private static final int HEARD = 16;

    /** Whether the log removed a gateway from the members; one bit per gateway. */
    private static final int REMOVED = 32;

    /** Whether a gateway has read its own join; one bit per gateway. */
    private static final int MEMBER = 36;

    /** Whether the withdrawal is in the log. */
    private static final int APPENDED = 40;

    /** Whether the withdrawal was accepted. */
    private static final int ACCEPTED = 41;

    /** Whether the network is partitioned. */
    private static final int PARTITIONED = 42;

    /** Whether the process of a gateway runs. */
    enum Status {
        RUNNING,
        FROZEN,
        /** Its host is dead. */
        DEAD
    }

    /** Returns the state without faults, in which all gateways know the newest version. */
    static GatewayStates initial() {
        long bits = 0xFL << FRESH | 0xFL << MEMBER;
        for (int gateway = 0; gateway < GATEWAYS; gateway++) {
            bits |= (0xFL & ~(1L << gateway)) << HEARD + GATEWAYS * gateway;
        }
        return new GatewayStates(bits);
    }

    Status status(int gateway) {
        return Status.values()[(int) (bits >> STATUS + 2 * gateway) & 3];
    }

    GatewayStates withStatus(int gateway, Status status) {
        int bit = STATUS + 2 * gateway;
        return new GatewayStates(bits & ~(3L << bit) | (long) status.ordinal() << bit);
    }

    boolean runs(int gateway) {
        return status(gateway) == Status.RUNNING;
    }

    /** Tells whether a gateway knows the withdrawal. */
    boolean knows(int gateway) {
        return isSet(KNOWS + gateway);
    }

    GatewayStates withKnows(int gateway, boolean value) {
        return withBit(KNOWS + gateway, value);
    }

    boolean fresh(int gateway) {
        return isSet(FRESH + gateway);
    }

    GatewayStates withFresh(int gateway, boolean value) {
        return withBit(FRESH + gateway, value);
    }

    /** Returns the gateways that one heard from within the freshness bound, one bit each. */
    int heard(int gateway) {
        return (int) (bits >> HEARD + GATEWAYS * gateway) & 0xF;
    }

    GatewayStates withHeard(int gateway, int others) {
        int bit = HEARD + GATEWAYS * gateway;
        return new GatewayStates(bits & ~(0xFL << bit) | (long) others << bit);
    }

    /** Tells whether the log removed a gateway from the members. */
    boolean removed(int gateway) {
        return isSet(REMOVED + gateway);
    }

    GatewayStates withRemoved(int gateway, boolean value) {
        return withBit(REMOVED + gateway, value);
    }

    /** Tells whether a gateway is a member as far as it has read the log. */
    boolean member(int gateway) {
        return isSet(MEMBER + gateway);
    }

    GatewayStates withMember(int gateway, boolean value) {
        return withBit(MEMBER + gateway, value);
    }

    /** Tells whether the withdrawal is in the log. */
    boolean appended() {
        return isSet(APPENDED);
    }

    GatewayStates withAppended() {
        return withBit(APPENDED, true);
    }

    /** Tells whether the withdrawal was accepted. */
    boolean accepted() {
        return isSet(ACCEPTED);
    }

    GatewayStates withAccepted() {
        return withBit(ACCEPTED, true);
    }

    /** Tells whether the network is partitioned. */
    boolean partitioned() {
        return isSet(PARTITIONED);
    }

    GatewayStates withPartitioned(boolean value) {
        return withBit(PARTITIONED, value);
    }

    private boolean isSet(int bit) {
        return (bits >> bit & 1) != 0;
    }

    private GatewayStates withBit(int bit, boolean value) {
        return new GatewayStates(value ? bits | 1L << bit : bits & ~(1L << bit));
    }
}
