package org.cranberrygauge.proxy.control;

/**
 * How a topic is read, so that what a host knows of it is never older than a bound while the log answers.
 *
 * <p>The delays add up as follows, each as a part of the bound. A host that reads the log has read it to its end at most
 * one pause and two waits ago. Another host queries it at intervals, and uses no read older than the maximum age, so that
 * what it uses is not overdue before the log itself could have answered. Whatever has failed or is late, a host reads the
 * log itself when its last read to the end is as old as {@code overdueMillis}, and reads again after
 * {@code repeatMillis} without waiting for an answer. One read may thus get no answer at all, and the next one is still in
 * time: a fifth of the bound is left for the list of servers, and a twelfth for the configuration.
 *
 * @param waitMillis The maximum time that a read of the log waits for a record, in milliseconds.
 * @param pauseMillis The pause between reads of the log, in milliseconds.
 * @param maximumAgeMillis The maximum age of a read through another host, in milliseconds.
 * @param relayedIntervalMillis The minimum pause after a read through another host, in milliseconds.
 * @param overdueMillis The age of the last read to the end at which this host reads the log itself, in milliseconds.
 * @param repeatMillis The time after which an overdue read is repeated, in milliseconds.
 * @param maximumRepeatMillis The maximum time between two reads while none succeeds, in milliseconds.
 */
record PollSettings(
        long waitMillis,
        long pauseMillis,
        long maximumAgeMillis,
        long relayedIntervalMillis,
        long overdueMillis,
        long repeatMillis,
        long maximumRepeatMillis) {

    /** The maximum time between two reads while none succeeds, for long bounds. */
    private static final long MAXIMUM_REPEAT_MILLIS = 800;

    /** The pause after a read through another host, for long bounds. */
    private static final long RELAYED_INTERVAL_MILLIS = 250;

    /** The time that an answer of the log takes at most while nothing fails. */
    private static final long ANSWER_MILLIS = 150;

    private static final double RELAYED_INTERVAL_FRACTION = 0.1;

    private static final double OVERDUE_FRACTION = 0.65;

    private static final double REPEAT_FRACTION = 0.15;

    private static final double MAXIMUM_REPEAT_FRACTION = 0.25;

    private static final double LIST_WAIT_FRACTION = 0.1;

    private static final double LIST_PAUSE_FRACTION = 0.33;

    /** The records of a configuration arrive while a read waits, which therefore waits for long and without a pause. */
    private static final double CONFIGURATION_WAIT_FRACTION = 0.4;

    private static final double CONFIGURATION_AGE_FRACTION = 0.7;

    private static final double CONFIGURATION_OVERDUE_FRACTION = 0.85;

    private static final double CONFIGURATION_REPEAT_FRACTION = 0.07;

    /**
     * Returns the settings for the list of servers. A single read without an answer is no outage in which entries expire.
     *
     * @param boundMillis The time within which a server that leaves must get no more requests, in milliseconds.
     * @param entryExpiryMillis The shortest outage of the log in which entries of running servers expire, in milliseconds.
     */
    static PollSettings ofServers(long boundMillis, long entryExpiryMillis) {
        long overdueMillis = Math.min(entryExpiryMillis - ANSWER_MILLIS, (long) (boundMillis * OVERDUE_FRACTION));
        return new PollSettings(
                (long) (boundMillis * LIST_WAIT_FRACTION),
                (long) (boundMillis * LIST_PAUSE_FRACTION),
                overdueMillis - ANSWER_MILLIS,
                Math.min(RELAYED_INTERVAL_MILLIS, (long) (boundMillis * RELAYED_INTERVAL_FRACTION)),
                overdueMillis,
                (long) (boundMillis * REPEAT_FRACTION),
                Math.min(MAXIMUM_REPEAT_MILLIS, (long) (boundMillis * MAXIMUM_REPEAT_FRACTION)));
    }

    /** @param boundMillis The time within which a new configuration must be in force, in milliseconds. */
    static PollSettings ofConfiguration(long boundMillis) {
        return new PollSettings(
                (long) (boundMillis * CONFIGURATION_WAIT_FRACTION),
                0,
                (long) (boundMillis * CONFIGURATION_AGE_FRACTION),
                RELAYED_INTERVAL_MILLIS,
                (long) (boundMillis * CONFIGURATION_OVERDUE_FRACTION),
                (long) (boundMillis * CONFIGURATION_REPEAT_FRACTION),
                MAXIMUM_REPEAT_MILLIS);
    }
}
