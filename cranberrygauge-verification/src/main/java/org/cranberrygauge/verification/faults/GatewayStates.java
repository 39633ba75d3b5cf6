package org.cranberrygauge.verification.faults;

/**
 * The state of four gateways and the log, packed into one number.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param bits The packed state.
 */
record GatewayStates(long bits) {

    /** The number of gateways. */
    static final int GATEWAYS = 4;

    /** The place of the first status, with two bits a gateway. */
    private static final int STATUS = 0;

    /** The place of the first bit of the configuration: whether a gateway knows the withdrawal. */
    private static final int KNOWS = 8;

    /** The place of the first bit of freshness. */
    private static final int FRESH = 12;

    /** The place of the first row of who was heard within the freshness bound. */
    private static final int HEARD = 16;

    /** The place of the first bit of the log that declares a gateway gone. */
    private static final int GONE = 32;

    /** The place of the first bit of a gateway that read its own join. */
    private static final int MEMBER = 36;

    /** The place of the bit that the withdrawal stands in the log. */
    private static final int APPENDED = 40;

    /** The place of the bit that the withdrawal was accepted. */
    private static final int ACCEPTED = 41;

    /** The place of the bit that the network is cut. */
    private static final int CUT = 42;

    /** What a gateway does. */
    enum Status {
        /** It runs. */
        RUNNING,
        /** It is frozen. */
        FROZEN,
        /** Its host is dead. */
        DEAD
    }

    /**
     * Returns the state in which all is well and all gateways know all.
     *
     * @return The initial state.
     */
    static GatewayStates initial() {
        long bits = 0xFL << FRESH | 0xFL << MEMBER;
        for (int gateway = 0; gateway < GATEWAYS; gateway++) {
            bits |= (0xFL & ~(1L << gateway)) << HEARD + GATEWAYS * gateway;
        }
        return new GatewayStates(bits);
    }

    /**
     * Returns the status of a gateway.
     *
     * @param gateway The gateway.
     * @return The status.
     */
    Status status(int gateway) {
        return Status.values()[(int) (bits >> STATUS + 2 * gateway) & 3];
    }

    /**
     * Sets the status of a gateway.
     *
     * @param gateway The gateway.
     * @param status The status.
     * @return The refined state.
     */
    GatewayStates withStatus(int gateway, Status status) {
        int place = STATUS + 2 * gateway;
        return new GatewayStates(bits & ~(3L << place) | (long) status.ordinal() << place);
    }

    /**
     * Tells whether a gateway runs.
     *
     * @param gateway The gateway.
     * @return Whether it runs.
     */
    boolean runs(int gateway) {
        return status(gateway) == Status.RUNNING;
    }

    /**
     * Tells whether a gateway knows the withdrawal.
     *
     * @param gateway The gateway.
     * @return Whether it does.
     */
    boolean knows(int gateway) {
        return is(KNOWS + gateway);
    }

    /**
     * Sets whether a gateway knows the withdrawal.
     *
     * @param gateway The gateway.
     * @param value Whether it does.
     * @return The refined state.
     */
    GatewayStates withKnows(int gateway, boolean value) {
        return with(KNOWS + gateway, value);
    }

    /**
     * Tells whether a gateway is fresh.
     *
     * @param gateway The gateway.
     * @return Whether it is.
     */
    boolean fresh(int gateway) {
        return is(FRESH + gateway);
    }

    /**
     * Sets whether a gateway is fresh.
     *
     * @param gateway The gateway.
     * @param value Whether it is.
     * @return The refined state.
     */
    GatewayStates withFresh(int gateway, boolean value) {
        return with(FRESH + gateway, value);
    }

    /**
     * Returns the gateways that one heard within the freshness bound.
     *
     * @param gateway The gateway.
     * @return The others, one bit each.
     */
    int heard(int gateway) {
        return (int) (bits >> HEARD + GATEWAYS * gateway) & 0xF;
    }

    /**
     * Sets the gateways that one heard within the freshness bound.
     *
     * @param gateway The gateway.
     * @param others The others, one bit each.
     * @return The refined state.
     */
    GatewayStates withHeard(int gateway, int others) {
        int place = HEARD + GATEWAYS * gateway;
        return new GatewayStates(bits & ~(0xFL << place) | (long) others << place);
    }

    /**
     * Tells whether the log declares a gateway gone.
     *
     * @param gateway The gateway.
     * @return Whether it does.
     */
    boolean gone(int gateway) {
        return is(GONE + gateway);
    }

    /**
     * Sets whether the log declares a gateway gone.
     *
     * @param gateway The gateway.
     * @param value Whether it does.
     * @return The refined state.
     */
    GatewayStates withGone(int gateway, boolean value) {
        return with(GONE + gateway, value);
    }

    /**
     * Tells whether a gateway is a member as far as it has read the log.
     *
     * @param gateway The gateway.
     * @return Whether it is.
     */
    boolean member(int gateway) {
        return is(MEMBER + gateway);
    }

    /**
     * Sets whether a gateway is a member as far as it has read the log.
     *
     * @param gateway The gateway.
     * @param value Whether it is.
     * @return The refined state.
     */
    GatewayStates withMember(int gateway, boolean value) {
        return with(MEMBER + gateway, value);
    }

    /**
     * Tells whether the withdrawal stands in the log.
     *
     * @return Whether it does.
     */
    boolean appended() {
        return is(APPENDED);
    }

    /**
     * Puts the withdrawal into the log.
     *
     * @return The refined state.
     */
    GatewayStates withAppended() {
        return with(APPENDED, true);
    }

    /**
     * Tells whether the withdrawal was accepted.
     *
     * @return Whether it was.
     */
    boolean accepted() {
        return is(ACCEPTED);
    }

    /**
     * Accepts the withdrawal.
     *
     * @return The refined state.
     */
    GatewayStates withAccepted() {
        return with(ACCEPTED, true);
    }

    /**
     * Tells whether the network is cut.
     *
     * @return Whether it is.
     */
    boolean cut() {
        return is(CUT);
    }

    /**
     * Sets whether the network is cut.
     *
     * @param value Whether it is.
     * @return The refined state.
     */
    GatewayStates withCut(boolean value) {
        return with(CUT, value);
    }

    /**
     * Reads a bit.
     *
     * @param place The place.
     * @return Whether it is set.
     */
    private boolean is(int place) {
        return (bits >> place & 1) != 0;
    }

    /**
     * Sets a bit.
     *
     * @param place The place.
     * @param value The value.
     * @return The refined state.
     */
    private GatewayStates with(int place, boolean value) {
        return new GatewayStates(value ? bits | 1L << place : bits & ~(1L << place));
    }
}
